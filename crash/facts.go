package crash

// Facts are reports of crashes and sound parts, as gateways send them to one another.
type Facts struct {
	Reports []Report
	Sound   []Part
}

// Len returns the number of reports and sound parts.
func (f Facts) Len() int { return len(f.Reports) + len(f.Sound) }

// Plus returns the facts of both.
func (f Facts) Plus(o Facts) Facts {
	return Facts{Reports: append(f.Reports, o.Reports...), Sound: append(f.Sound, o.Sound...)}
}

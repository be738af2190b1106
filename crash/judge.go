package crash

import (
	"cmp"
	"slices"
)

// MinCrashes is the number of crashes that parts must have in common to be blocked.
const MinCrashes = 3

// Signature is a set of parts, of which at least one crashes endpoints. Prompts that have all of them are blocked.
type Signature struct {
	// Parts are in ascending order.
	Parts []Part
	// Crashes is the number of crashes that the signature explains.
	Crashes int
}

// Judge returns the signatures that explain the crashes, the one with the most crashes first. The reports hold no parts
// that are known to be sound.
//
// The part that most crashes have in common is taken first, together with the parts that were in the same prompt at each
// of these crashes, which the crashes do not distinguish from it. The crashes that it explains are no evidence against others: a
// part that was only there at the same time is not blocked.
func Judge(reports []Report) []Signature {
	var signatures []Signature
	unexplained := slices.Clone(reports)
	for {
		part, n := mostCommon(unexplained)
		if n < MinCrashes {
			return signatures
		}
		signature := Signature{Parts: companions(unexplained, part), Crashes: n}
		signatures = append(signatures, signature)
		unexplained = slices.DeleteFunc(unexplained, func(r Report) bool { return r.has(part) })
	}
}

// has reports whether one of the report's prompts has the part.
func (r Report) has(part Part) bool {
	return slices.ContainsFunc(r.Prompts, func(p Prompt) bool { return p.Contains([]Part{part}) })
}

// parts returns all parts of the report's prompts, in ascending order.
func (r Report) parts() []Part {
	var all []Part
	for _, p := range r.Prompts {
		all = append(all, p...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// mostCommon returns the part that occurs in most reports, of equal ones the lowest, and the number of those reports.
func mostCommon(reports []Report) (part Part, n int) {
	counts := map[Part]int{}
	for _, r := range reports {
		for _, p := range r.parts() {
			counts[p]++
		}
	}
	for p, count := range counts {
		if c := cmp.Compare(count, n); c > 0 || c == 0 && p < part {
			part, n = p, count
		}
	}
	return part, n
}

// companions returns a part and those that were in the same prompt as it in each report that has it.
func companions(reports []Report, part Part) []Part {
	var common []Part
	first := true
	for _, r := range reports {
		together := Report{}
		for _, p := range r.Prompts {
			if p.Contains([]Part{part}) {
				together.Prompts = append(together.Prompts, p)
			}
		}
		switch all := together.parts(); {
		case len(all) == 0:
		case first:
			common, first = all, false
		default:
			common = slices.DeleteFunc(common, func(p Part) bool { return !Prompt(all).Contains([]Part{p}) })
		}
	}
	return common
}

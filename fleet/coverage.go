package fleet

// Coverage is what a list of gateways shows about regions of which it holds none. A list that may lack gateways doesn't show
// that a region has none, unless it had none when the list was last complete. Use With to record lists.
type Coverage struct {
	// Complete reports that no live gateway can be missing in the list.
	Complete bool
	// recorded reports that a list has been complete, and occupied holds the regions that had a gateway in it or in a later one.
	recorded bool
	occupied map[string]bool
}

// With returns the coverage of a list that is or isn't complete, after the lists that c covers. A region with a gateway in
// an incomplete list is not vacant any more.
func (c Coverage) With(gateways []Gateway, complete bool) Coverage {
	occupied := map[string]bool{}
	if !complete {
		for region := range c.occupied {
			occupied[region] = true
		}
	}
	for _, g := range gateways {
		occupied[g.Region] = true
	}
	return Coverage{Complete: complete, recorded: c.recorded || complete, occupied: occupied}
}

// Vacant reports whether a region is known to have no gateway, live or expected back.
func (c Coverage) Vacant(region string) bool { return c.recorded && !c.occupied[region] }

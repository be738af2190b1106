package fleet

import "slices"

// Nearest returns up to n gateways for a caller in a region: the ready ones of its region, else the lingering ones
// there, else the ready ones of homeRegions, which are the regions that may serve its requests, else the other
// ready ones. Callers choose among them at random, so that load is spread over the failure domains of a region.
func Nearest(gateways []Gateway, region string, homeRegions []string, n int) []Gateway {
	var local, lingering, home, remote []Gateway
	for _, g := range gateways {
		switch {
		case g.Region == region && g.Lingering:
			lingering = append(lingering, g)
		case !g.Ready:
		case g.Region == region:
			local = append(local, g)
		case slices.Contains(homeRegions, g.Region):
			home = append(home, g)
		default:
			remote = append(remote, g)
		}
	}
	for _, candidates := range [][]Gateway{local, lingering, home, remote} {
		if len(candidates) > 0 {
			return candidates[:min(n, len(candidates))]
		}
	}
	return nil
}

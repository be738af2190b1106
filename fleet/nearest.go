package fleet

import "slices"

// Nearest returns the gateways that a caller in a region should use, up to n: all that are ready in its region, else
// those there that linger, else those that are ready in the homes of what it asks for, or else all that are ready
// anywhere. Callers choose among them at random, so that the failure
// domains of a region share its load.
func Nearest(gateways []Gateway, region string, homes []string, n int) []Gateway {
	var near, lingering, home, far []Gateway
	for _, g := range gateways {
		switch {
		case g.Region == region && g.Lingering:
			lingering = append(lingering, g)
		case !g.Ready:
		case g.Region == region:
			near = append(near, g)
		case slices.Contains(homes, g.Region):
			home = append(home, g)
		default:
			far = append(far, g)
		}
	}
	for _, named := range [][]Gateway{near, lingering, home, far} {
		if len(named) > 0 {
			return named[:min(n, len(named))]
		}
	}
	return nil
}

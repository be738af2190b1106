package fleet

// Nearest returns the gateways that a caller in a region should use, up to n: all that are ready in its region, else
// those there that linger, or else all that are ready anywhere. Callers choose among them at random, so that the failure
// domains of a region share its load.
func Nearest(gateways []Gateway, region string, n int) []Gateway {
	var near, lingering, far []Gateway
	for _, g := range gateways {
		switch {
		case g.Region == region && g.Lingering:
			lingering = append(lingering, g)
		case !g.Ready:
		case g.Region == region:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	if len(near) == 0 {
		near = lingering
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(n, len(near))]
}

package fleet

import "slices"

// Homes are the regions in which the requests to a host may be served, as far as a directory knows them.
type Homes struct {
	// Known reports that a routing document with routes of the host is known; without one, every region may be forbidden.
	Known bool
	// Restricted reports that at least one route of the host has home regions.
	Restricted bool
	// Shared holds the regions that are homes of all restricted routes, and Some those that are homes of any.
	Shared, Some []string
}

// allow reports whether every request to the host may be sent to gateways of a region.
func (h Homes) allow(region string) bool {
	return h.Known && (!h.Restricted || slices.Contains(h.Shared, region))
}

// Choice is what the gateways that a directory names to a caller have in common.
type Choice int

// Choices of a directory, in the order of preference.
const (
	// OwnRegion: ready gateways of the caller's region.
	OwnRegion Choice = iota
	// OwnLingering: stopping gateways of the caller's region that still accept every request.
	OwnLingering
	// HomeRegion: ready gateways of other regions to which every request to the host may be sent.
	HomeRegion
	// OwnClosing: stopping gateways of the caller's region that accept only requests that end before they do.
	OwnClosing
	// LostRegion: ready gateways of regions to which some requests to the host should not be sent, because the caller's
	// region has lost all of its gateways.
	LostRegion
	// NoGateway: no gateway is named, and the caller keeps its previous answer.
	NoGateway
)

// String returns the name of the choice.
func (c Choice) String() string {
	switch c {
	case OwnRegion:
		return "ownRegion"
	case OwnLingering:
		return "ownLingering"
	case HomeRegion:
		return "homeRegion"
	case OwnClosing:
		return "ownClosing"
	case LostRegion:
		return "lostRegion"
	default:
		return "noGateway"
	}
}

// Nearest returns up to n gateways for a caller in a region, and what they have in common. Callers choose among them at
// random, so that load is spread over the failure domains of a region.
//
// A request with homes must not be sent to a region that is neither one of them nor the caller's. As a caller asks for a
// host and not for a route, other regions are named only if they are homes of all restricted routes of the host. While
// none is ready and the caller's region still has gateways that stop or start, no gateway is named: the caller keeps its
// previous answer, and one of its own region's gateways is ready soon. A region without any gateway is lost; then its
// callers are sent wherever a gateway is ready, first to regions that are homes of some route. A region that the coverage
// of the list does not show to be vacant is not lost.
func Nearest(gateways []Gateway, coverage Coverage, region string, homes Homes, n int) ([]Gateway, Choice) {
	// tiers holds the gateways by the choice that allows them; those of regions that are homes of no route come last.
	var tiers [NoGateway + 1][]Gateway
	lost := coverage.Vacant(region) && homes.Known
	for _, g := range gateways {
		if g.Region == region {
			lost = false
		}
		choice := homes.choice(g, region)
		tiers[choice] = append(tiers[choice], g)
	}
	switch {
	case !lost:
		tiers[LostRegion] = nil
	case len(tiers[LostRegion]) == 0:
		tiers[LostRegion] = slices.DeleteFunc(tiers[NoGateway], func(g Gateway) bool { return !g.Ready })
	}
	for choice, tier := range tiers[:NoGateway] {
		if len(tier) > 0 {
			return tier[:min(n, len(tier))], Choice(choice)
		}
	}
	return nil, NoGateway
}

// choice returns the most preferred choice that allows a gateway to be named to a caller in a region, or NoGateway.
func (h Homes) choice(g Gateway, region string) Choice {
	switch {
	case g.Region == region && g.Ready:
		return OwnRegion
	case g.Region == region && g.Lingering:
		return OwnLingering
	case g.Region == region && g.Closing:
		return OwnClosing
	case g.Region == region || !g.Ready:
		return NoGateway
	case h.allow(g.Region):
		return HomeRegion
	case slices.Contains(h.Some, g.Region):
		return LostRegion
	default:
		return NoGateway
	}
}

// States returns the gateways of a region, each as its name and its state, for logs.
func States(gateways []Gateway, region string) []string {
	var all []string
	for _, g := range gateways {
		if g.Region == region {
			all = append(all, g.Name+":"+g.state())
		}
	}
	return all
}

// state returns the name of the state in which a gateway takes requests, or "absent" if it takes none.
func (g Gateway) state() string {
	switch {
	case g.Ready:
		return "ready"
	case g.Lingering:
		return "lingering"
	case g.Closing:
		return "closing"
	default:
		return "absent"
	}
}

// RegionsOf returns the regions of gateways, in order and each once.
func RegionsOf(gateways []Gateway) []string {
	var all []string
	for _, g := range gateways {
		all = append(all, g.Region)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Accepting returns the gateways that accept requests forwarded to their region: the ready ones, else the lingering
// ones, else the closing ones.
func Accepting(gateways []Gateway) []Gateway {
	for _, accepts := range []func(Gateway) bool{
		func(g Gateway) bool { return g.Ready },
		func(g Gateway) bool { return g.Lingering },
		func(g Gateway) bool { return g.Closing },
	} {
		if accepting := slices.DeleteFunc(slices.Clone(gateways), func(g Gateway) bool { return !accepts(g) }); len(accepting) > 0 {
			return accepting
		}
	}
	return nil
}

// Reaching returns the gateways that are not stranded, or all if all are.
func Reaching(gateways []Gateway) []Gateway {
	if reaching := slices.DeleteFunc(slices.Clone(gateways), func(g Gateway) bool { return g.Stranded }); len(reaching) > 0 {
		return reaching
	}
	return gateways
}

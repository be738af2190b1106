package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/membership"
)

// partner is a peer that is asked, and for what.
type partner struct {
	address string
	// local and global say whether what entries of the region tell, and what all regions tell, is asked for.
	local, global bool
	// knows says that the peer needs no advert of the instance, since it hears of it by what entries and gateways tell.
	knows bool
}

// drawPartners draws the peers of one exchange: entries of the region, one of its gateways for what all regions tell, gateways
// of other regions if the instance is one, and addresses of the settings that are not known to be alive.
func (s *state) drawPartners(self membership.Entry, seeds []string, rng *rand.Rand) []partner {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	live := map[string]bool{self.PeerAddress: true}
	regions := map[string][]membership.Entry{}
	for _, e := range s.liveNow(now) {
		live[e.PeerAddress] = true
		if e.Name != self.Name {
			regions[e.Region] = append(regions[e.Region], e)
		}
	}
	var drawn []partner
	few := s.few(now)
	known := s.known(now)
	for _, e := range draw(regions[self.Region], s.localPartners(now), rng) {
		drawn = append(drawn, partner{address: e.PeerAddress, local: true, global: few, knows: known})
	}
	switch gateway := s.isGateway(now, self.Name); {
	case !s.tellsGlobal(now):
	case gateway:
		drawn = append(drawn, drawGateways(self.Region, regions, known, rng)...)
	case !few && s.facts.period%slowEntryPeriods == 0:
		drawn = append(drawn, drawGateway(self.Region, regions[self.Region], known, rng)...)
	}
	unknown := slices.DeleteFunc(slices.Clone(seeds), func(address string) bool { return live[address] })
	for _, address := range draw(unknown, seedPartners, rng) {
		drawn = append(drawn, partner{address: address, local: true, global: true})
	}
	return drawn
}

// few reports whether the region has so few entries that the exchange is fast; the lock is held.
func (s *state) few(now time.Time) bool { return len(s.regionEntries(now)) <= fewEntries }

// known reports whether the peers of the region know the instance by what it tells; the lock is held.
func (s *state) known(now time.Time) bool { return !s.few(now) && s.facts.adverts == 0 }

// drawGateways draws other regions and of each one of its gateways, the standby included.
func drawGateways(region string, regions map[string][]membership.Entry, known bool, rng *rand.Rand) []partner {
	names := slices.Sorted(maps.Keys(regions))
	names = slices.DeleteFunc(names, func(name string) bool { return name == region })
	var drawn []partner
	for _, name := range draw(names, partners, rng) {
		drawn = append(drawn, drawGateway(name, regions[name], known, rng)...)
	}
	return drawn
}

// drawGateway draws one of the region's gateways.
func drawGateway(region string, entries []membership.Entry, known bool, rng *rand.Rand) []partner {
	names := membership.Rendezvous(region, entryNames(entries), gateways)
	speaks := slices.DeleteFunc(slices.Clone(entries), func(e membership.Entry) bool { return !slices.Contains(names, e.Name) })
	if rng.IntN(anyEntryOneIn) == 0 {
		speaks = entries // Both gateways may have ended at once, and others have their places.
	}
	var drawn []partner
	for _, e := range draw(speaks, 1, rng) {
		drawn = append(drawn, partner{address: e.PeerAddress, global: true, knows: known})
	}
	return drawn
}

// localPartners returns how many entries of the region are asked in this period; the lock is held.
func (s *state) localPartners(now time.Time) int {
	if s.few(now) {
		return partners
	}
	return 1
}

// tellsGlobal reports whether what all regions tell is asked for in this period; the lock is held.
func (s *state) tellsGlobal(now time.Time) bool {
	return s.few(now) || s.facts.period%slowGlobalPeriods == 0
}

// draw returns n of the items in random order.
func draw[T any](items []T, n int, rng *rand.Rand) []T {
	drawn := slices.Clone(items)
	rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/membership"
)

// partner is a peer that is selected for an exchange, and the state that is requested from it.
type partner struct {
	address string
	// local requests the state that entries share within the region, and global the state shared between regions.
	local, global bool
	// knowsSelf reports that the peer needs no advert of this instance, because the gossip of entries and gateways
	// carries it.
	knowsSelf bool
}

// drawPartners selects the peers of one exchange at random: entries of the region, one of its gateways for the global
// state, gateways of other regions if this instance is a gateway, and configured addresses that are not known to be
// live.
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
	small := s.smallRegion(now)
	knowsSelf := s.knownToPeers(now)
	for _, e := range draw(regions[self.Region], s.localPartnerCount(now), rng) {
		drawn = append(drawn, partner{address: e.PeerAddress, local: true, global: small, knowsSelf: knowsSelf})
	}
	switch gateway := s.isGateway(now, self.Name); {
	case !s.asksGlobal(now):
	case gateway:
		drawn = append(drawn, drawGateways(self.Region, regions, knowsSelf, rng)...)
	case !small && s.gossip.period%slowEntryPeriods == 0:
		drawn = append(drawn, drawGateway(self.Region, regions[self.Region], knowsSelf, rng)...)
	}
	unknown := slices.DeleteFunc(slices.Clone(seeds), func(address string) bool { return live[address] })
	for _, address := range draw(unknown, seedPartners, rng) {
		drawn = append(drawn, partner{address: address, local: true, global: true})
	}
	return drawn
}

// smallRegion reports whether the region has so few entries that it exchanges at the fast rate; the lock is held.
func (s *state) smallRegion(now time.Time) bool {
	return len(s.regionEntries(now)) <= maxSmallRegionEntries
}

// knownToPeers reports whether the region's peers know this instance through gossip; the lock is held.
func (s *state) knownToPeers(now time.Time) bool {
	return !s.smallRegion(now) && s.gossip.advertPeriodsLeft == 0
}

// drawGateways selects other regions and one gateway of each, which may be the standby.
func drawGateways(region string, regions map[string][]membership.Entry, knowsSelf bool, rng *rand.Rand) []partner {
	names := slices.Sorted(maps.Keys(regions))
	names = slices.DeleteFunc(names, func(name string) bool { return name == region })
	var drawn []partner
	for _, name := range draw(names, partnersPerPeriod, rng) {
		drawn = append(drawn, drawGateway(name, regions[name], knowsSelf, rng)...)
	}
	return drawn
}

// drawGateway selects one of the region's gateways.
func drawGateway(region string, entries []membership.Entry, knowsSelf bool, rng *rand.Rand) []partner {
	names := membership.Rendezvous(region, entryNames(entries), gateways)
	candidates := slices.DeleteFunc(slices.Clone(entries), func(e membership.Entry) bool { return !slices.Contains(names, e.Name) })
	if rng.IntN(anyEntryOdds) == 0 {
		candidates = entries // Both gateways may have failed at once and been replaced by other entries.
	}
	var drawn []partner
	for _, e := range draw(candidates, 1, rng) {
		drawn = append(drawn, partner{address: e.PeerAddress, global: true, knowsSelf: knowsSelf})
	}
	return drawn
}

// localPartnerCount returns the number of local partners in this period; the lock is held.
func (s *state) localPartnerCount(now time.Time) int {
	if s.smallRegion(now) {
		return partnersPerPeriod
	}
	return 1
}

// asksGlobal reports whether global state is requested in this period; the lock is held.
func (s *state) asksGlobal(now time.Time) bool {
	return s.smallRegion(now) || s.gossip.period%slowGlobalPeriods == 0
}

// draw returns up to n of the items in random order.
func draw[T any](items []T, n int, rng *rand.Rand) []T {
	drawn := slices.Clone(items)
	rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

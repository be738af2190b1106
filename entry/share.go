package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"arbutusreel/membership"
)

// Limits of what an entry tells.
const (
	// gateways is how many entries of a region speak to the other regions.
	gateways = 2
	// partners is how many entries of a small region, and how many other regions, are asked in one period.
	partners = 2
	// seedPartners is how many addresses of the settings that are not known to be alive are asked in one period.
	seedPartners = 4
	// fewEntries is up to which number of entries of the region the exchange is fast.
	fewEntries = 6
	// loadsPerPeriod and slowLoadsPerPeriod are how many loads of endpoints the region's entries tell in one period together.
	loadsPerPeriod     = 12
	slowLoadsPerPeriod = 2
	// advertPeriods is in how many periods requests bear the advert of an entry that a peer of the region does not know.
	advertPeriods = 10
	// slowGlobalPeriods is in which periods a large region exchanges what all regions tell.
	slowGlobalPeriods = 4
	// fewRegions is up to which number of regions summaries are told each summaryPeriod, and beyond each slowSummaryPeriod.
	fewRegions        = 5
	summaryPeriod     = time.Second
	slowSummaryPeriod = 10 * time.Second
	// originTTL is how long an origin without a beat is believed, longer by originTTLPerEntry for each live origin.
	originTTL         = 3 * time.Second
	originTTLPerEntry = 200 * time.Millisecond
	// fewGateways is up to which number of gateways that tell a silent one is believed no longer than an entry of the
	// region, and beyond for slowGatewayTTL.
	fewGateways    = 10
	slowGatewayTTL = 40 * time.Second
)

// Prefixes of the keys of facts.
const (
	endpointKey = "p/"
	entryKey    = "n/"
	summaryKey  = "s/"
)

// facts is what the instance tells and hears: of its region to its region, and of all regions through gateways.
type facts struct {
	region string
	local  *membership.Share[membership.Fact]
	global *membership.Share[membership.Fact]
	// cursor is the last endpoint whose load was told, so that each has its turn.
	cursor string
	// credit is how many loads may be told.
	credit float64
	// period counts the periods.
	period int
	// adverts is in how many more periods requests bear the advert of the instance.
	adverts int
	// localOrigins and globalOrigins are how many origins were live in the last period.
	localOrigins  int
	globalOrigins int
}

func newFacts(now time.Time, self membership.Entry) *facts {
	incarnation := now.UnixNano()
	return &facts{
		region: self.Region,
		local:  membership.NewShare[membership.Fact](now, self.Name, incarnation),
		global: membership.NewShare[membership.Fact](now, self.Name, incarnation),
	}
}

// localTTL returns how long a silent entry of the region is believed.
func (f *facts) localTTL() time.Duration {
	return originTTL + time.Duration(f.localOrigins)*originTTLPerEntry
}

// globalTTL returns how long a silent gateway is believed.
func (f *facts) globalTTL() time.Duration {
	if f.globalOrigins <= fewGateways {
		return originTTL + time.Duration(f.globalOrigins)*originTTLPerEntry
	}
	return slowGatewayTTL
}

// count notes how many origins are live, by which their time to live is reckoned.
func (f *facts) count(now time.Time) {
	f.localOrigins = len(f.local.Marks(now, f.localTTL()))
	f.globalOrigins = len(f.global.Marks(now, f.globalTTL()))
}

// believed returns what the live origins tell.
func (f *facts) believed(now time.Time) (endpoints []membership.Endpoint, entries []membership.Entry, summaries []membership.Summary) {
	take := func(_, _ string, fact membership.Fact) {
		if f.ofRegion(fact) {
			return
		}
		if fact.Entry != nil {
			entries = append(entries, *fact.Entry)
		}
		if fact.Summary != nil {
			summaries = append(summaries, *fact.Summary)
		}
	}
	f.global.Each(now, f.globalTTL(), take)
	f.local.Each(now, f.localTTL(), func(_, _ string, fact membership.Fact) {
		if fact.Endpoint != nil {
			endpoints = append(endpoints, *fact.Endpoint)
		}
		if fact.Entry != nil {
			entries = append(entries, *fact.Entry)
		}
	})
	return endpoints, entries, summaries
}

// ofRegion reports whether a gateway's fact is of the own region: such a one is not believed, since gateways would keep a
// dead entry alive by telling it to one another.
func (f *facts) ofRegion(fact membership.Fact) bool {
	return (fact.Entry != nil && fact.Entry.Region == f.region) || (fact.Summary != nil && fact.Summary.Region == f.region)
}

// tell brings what the instance tells up to date.
func (s *state) tell(self membership.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.facts.count(now)
	s.facts.local.Beat(now)
	s.facts.tellEntry(s.facts.local, self)
	s.facts.period++
	s.facts.adverts = max(s.facts.adverts-1, 0)
	s.facts.earn(len(s.regionEntries(now)))
	s.facts.tellEndpoints(s.table.Endpoints(now))
	if !s.isGateway(now, self.Name) {
		for _, key := range s.facts.global.Keys() {
			s.facts.global.Drop(key)
		}
		return
	}
	s.facts.global.Beat(now)
	s.tellRegion(now)
}

// earn adds the instance's share of the loads that the entries of the region may tell in a period.
func (f *facts) earn(entries int) {
	loads := float64(loadsPerPeriod)
	if entries > fewEntries {
		loads = slowLoadsPerPeriod
	}
	f.credit = min(f.credit+loads/float64(entries), loads)
}

// tellEntry tells an advert if it says something new.
func (f *facts) tellEntry(share *membership.Share[membership.Fact], e membership.Entry) {
	told, ok := share.Told(entryKey + e.Name)
	if !ok || e.Differs(*told.Entry) {
		share.Put(entryKey+e.Name, membership.Fact{Entry: &e})
	}
}

// tellEndpoints tells the endpoints that announce themselves here: changes at once, loads in turn.
func (f *facts) tellEndpoints(endpoints []membership.Endpoint) {
	present := map[string]bool{}
	for _, e := range endpoints {
		present[endpointKey+e.Name] = true
	}
	for _, key := range f.local.Keys() {
		if strings.HasPrefix(key, endpointKey) && !present[key] {
			f.local.Drop(key)
		}
	}
	start, _ := slices.BinarySearchFunc(endpoints, f.cursor+"\x00", func(e membership.Endpoint, name string) int { return strings.Compare(e.Name, name) })
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		told, ok := f.local.Told(endpointKey + e.Name)
		changed := !ok || e.Differs(*told.Endpoint)
		newer := ok && e.Sequence > told.Endpoint.Sequence
		if !changed && (!newer || f.credit < 1) {
			continue
		}
		if !changed {
			f.credit--
			f.cursor = e.Name
		}
		f.local.Put(endpointKey+e.Name, membership.Fact{Endpoint: &e})
	}
}

// tellRegion tells the other regions the entries and the summaries of the own one.
func (s *state) tellRegion(now time.Time) {
	keys := map[string]bool{}
	for _, e := range s.regionEntries(now) {
		keys[entryKey+e.Name] = true
		s.facts.tellEntry(s.facts.global, e)
	}
	for _, summary := range membership.Summarize(now, s.region, s.endpointsNow(now)) {
		key := summaryKey + summary.Service
		keys[key] = true
		told, ok := s.facts.global.Told(key)
		if !ok || now.Sub(told.Summary.At) >= s.summaryPeriod(now) {
			s.facts.global.Put(key, membership.Fact{Summary: &summary})
		}
	}
	for _, key := range s.facts.global.Keys() {
		if !keys[key] {
			s.facts.global.Drop(key)
		}
	}
}

// summaryPeriod returns how often summaries are told.
func (s *state) summaryPeriod(now time.Time) time.Duration {
	regions := map[string]bool{}
	for _, e := range s.liveNow(now) {
		regions[e.Region] = true
	}
	if len(regions) <= fewRegions {
		return summaryPeriod
	}
	return slowSummaryPeriod
}

// regionEntries returns the live entries of the own region; the lock is held.
func (s *state) regionEntries(now time.Time) []membership.Entry {
	entries := slices.DeleteFunc(slices.Clone(s.liveNow(now)), func(e membership.Entry) bool { return e.Region != s.region })
	if len(entries) == 0 {
		return []membership.Entry{{Region: s.region}}
	}
	return entries
}

// isGateway reports whether the entry speaks to the other regions; the lock is held.
func (s *state) isGateway(now time.Time, name string) bool {
	return slices.Contains(membership.Rendezvous(s.region, entryNames(s.regionEntries(now)), gateways), name)
}

func entryNames(entries []membership.Entry) []string {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return names
}

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
	gateway := s.isGateway(now, self.Name)
	switch {
	case gateway && s.tellsGlobal(now):
		drawn = append(drawn, s.drawGateways(now, self.Region, regions, rng)...)
	case !gateway && s.tellsGlobal(now) && !few:
		names := membership.Rendezvous(s.region, entryNames(s.regionEntries(now)), gateways)
		own := slices.DeleteFunc(regions[self.Region], func(e membership.Entry) bool { return !slices.Contains(names, e.Name) })
		for _, e := range draw(own, 1, rng) {
			drawn = append(drawn, partner{address: e.PeerAddress, local: true, global: true, knows: known})
		}
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

// drawGateways draws other regions and of each an entry that tells what is known of it, or any entry; the lock is held.
func (s *state) drawGateways(now time.Time, region string, regions map[string][]membership.Entry, rng *rand.Rand) []partner {
	tells := map[string]bool{}
	for _, name := range s.facts.global.Live(now, s.facts.globalTTL()) {
		tells[name] = true
	}
	names := slices.Sorted(maps.Keys(regions))
	names = slices.DeleteFunc(names, func(name string) bool { return name == region })
	var drawn []partner
	for _, name := range draw(names, partners, rng) {
		tellers := slices.DeleteFunc(slices.Clone(regions[name]), func(e membership.Entry) bool { return !tells[e.Name] })
		if len(tellers) == 0 {
			tellers = regions[name]
		}
		for _, e := range draw(tellers, 1, rng) {
			drawn = append(drawn, partner{address: e.PeerAddress, global: true, knows: s.known(now)})
		}
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

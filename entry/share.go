package entry

import (
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
	// anyEntryOneIn is in one of how many draws any entry is asked in place of a gateway.
	anyEntryOneIn = 4
	// seedPartners is how many addresses of the settings that are not known to be alive are asked in one period.
	seedPartners = 4
	// fewEntries is up to which number of entries of the region the exchange is fast.
	fewEntries = 6
	// loadsPerPeriod and slowLoadsPerPeriod are how many loads of endpoints the region's entries tell in one period together.
	loadsPerPeriod     = 12
	slowLoadsPerPeriod = 2
	// advertPeriods is in how many periods requests bear the advert of an entry that a peer of the region does not know.
	advertPeriods = 10
	// slowGlobalPeriods and slowEntryPeriods are in which periods the gateways and the other entries of a large region ask for
	// what all regions tell.
	slowGlobalPeriods = 4
	slowEntryPeriods  = 8
	// fewRegions is up to which number of regions summaries are told each summaryPeriod, and beyond each slowSummaryPeriod.
	fewRegions        = 5
	summaryPeriod     = time.Second
	slowSummaryPeriod = 10 * time.Second
	// originTTL is how long an origin without a beat is believed, longer by originTTLPerEntry for each live origin.
	// slowOriginTTL is that of a large region, whose entries ask one another less often.
	originTTL         = 3 * time.Second
	slowOriginTTL     = 5 * time.Second
	originTTLPerEntry = 200 * time.Millisecond
	// slowGatewayTTL is how long a silent gateway is believed if a region exchanges slowly, longer by slowGatewayTTLPerRegion
	// for each region; it outlasts the time in which the standby takes its place.
	slowGatewayTTL          = 15 * time.Second
	slowGatewayTTLPerRegion = time.Second
)

// Prefixes of the keys of facts.
const (
	endpointKey = "p/"
	loadKey     = "l/"
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
	// regions is the number of regions that have live entries.
	regions int
	// slow says that a region has so many entries that it exchanges slowly.
	slow bool
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
	ttl := originTTL
	if f.localOrigins > fewEntries {
		ttl = slowOriginTTL
	}
	return ttl + time.Duration(f.localOrigins)*originTTLPerEntry
}

// globalTTL returns how long a silent gateway is believed.
func (f *facts) globalTTL() time.Duration {
	if f.slow {
		return slowGatewayTTL + time.Duration(f.regions)*slowGatewayTTLPerRegion
	}
	return originTTL + time.Duration(f.globalOrigins)*originTTLPerEntry
}

// count notes how many origins are live and whether a region is large, by which their time to live is reckoned.
func (f *facts) count(now time.Time, live []membership.Entry) {
	regions := map[string]int{}
	f.slow = false
	for _, e := range live {
		regions[e.Region]++
		f.slow = f.slow || regions[e.Region] > fewEntries
	}
	f.regions = len(regions)
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
	loads := map[string]membership.EndpointLoad{}
	var origins []string
	f.local.Each(now, f.localTTL(), func(origin, key string, fact membership.Fact) {
		switch {
		case fact.Endpoint != nil:
			endpoints = append(endpoints, *fact.Endpoint)
			origins = append(origins, origin)
		case fact.Load != nil:
			loads[origin+"/"+key] = *fact.Load
		case fact.Entry != nil:
			entries = append(entries, *fact.Entry)
		}
	})
	for i, e := range endpoints {
		endpoints[i] = e.WithLoad(loads[origins[i]+"/"+loadKey+e.Name])
	}
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
	s.facts.count(now, s.liveNow(now))
	s.facts.local.Beat(now)
	s.facts.tellEntry(s.facts.local, self)
	s.facts.period++
	s.facts.adverts = max(s.facts.adverts-1, 0)
	s.facts.earn(len(s.regionEntries(now)))
	s.facts.tellEndpoints(s.table.Endpoints(now))
	if !s.tellsRegion(now, self.Name) {
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

// tellEndpoints tells the endpoints that announce themselves here: changes and cache events at once, loads in turn.
func (f *facts) tellEndpoints(endpoints []membership.Endpoint) {
	f.dropAbsent(endpoints)
	start, _ := slices.BinarySearchFunc(endpoints, f.cursor+"\x00", func(e membership.Endpoint, name string) int { return strings.Compare(e.Name, name) })
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		told, ok := f.local.Told(endpointKey + e.Name)
		if !ok || e.Differs(*told.Endpoint) {
			f.tellWhole(e)
			continue
		}
		sequence := told.Endpoint.Sequence
		if later, ok := f.local.Told(loadKey + e.Name); ok {
			sequence = later.Load.Sequence
		}
		if e.Sequence <= sequence || f.credit < 1 {
			continue
		}
		f.credit--
		f.cursor = e.Name
		if e.CacheSequence+int64(len(e.CacheEvents)) != told.Endpoint.CacheSequence+int64(len(told.Endpoint.CacheEvents)) {
			f.tellWhole(e)
			continue
		}
		f.local.Put(loadKey+e.Name, membership.Fact{Load: &membership.EndpointLoad{Sequence: e.Sequence, Load: e.Load}})
	}
}

// tellWhole tells all of an endpoint, in place of a load that was told before.
func (f *facts) tellWhole(e membership.Endpoint) {
	f.local.Put(endpointKey+e.Name, membership.Fact{Endpoint: &e})
	f.local.Drop(loadKey + e.Name)
}

// dropAbsent takes back what was told of endpoints that no longer announce themselves here.
func (f *facts) dropAbsent(endpoints []membership.Endpoint) {
	present := map[string]bool{}
	for _, e := range endpoints {
		present[e.Name] = true
	}
	for _, key := range f.local.Keys() {
		name, isEndpoint := strings.CutPrefix(key, endpointKey)
		if !isEndpoint {
			name, isEndpoint = strings.CutPrefix(key, loadKey)
		}
		if isEndpoint && !present[name] {
			f.local.Drop(key)
		}
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

// tellsRegion reports whether the entry tells the other regions of its own: in a small region both gateways do, in a large one
// the first of them, whose place the other takes when it is silent; the lock is held.
func (s *state) tellsRegion(now time.Time, name string) bool {
	tellers := 1
	if s.few(now) {
		tellers = gateways
	}
	return slices.Contains(membership.Rendezvous(s.region, entryNames(s.regionEntries(now)), tellers), name)
}

func entryNames(entries []membership.Entry) []string {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return names
}

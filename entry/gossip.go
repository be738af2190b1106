package entry

import (
	"slices"
	"strings"
	"time"

	"arbutusreel/crash"
	"arbutusreel/membership"
)

// Parameters of the exchange of state between entries.
const (
	// gateways is the number of entries of a region that exchange state with other regions.
	gateways = 2
	// partnersPerPeriod is the number of entries of a small region, and of other regions, that are selected per period.
	partnersPerPeriod = 2
	// anyEntryOdds is n if any entry is selected instead of a gateway in one of n draws on average.
	anyEntryOdds = 4
	// seedPartners is the number of configured addresses not known to be live that are selected per period.
	seedPartners = 4
	// maxSmallRegionEntries is the largest number of entries of a region that exchanges at the fast rate.
	maxSmallRegionEntries = 6
	// loadsPerPeriod and slowLoadsPerPeriod limit the endpoint loads that all entries of a region report together per
	// period.
	loadsPerPeriod     = 12
	slowLoadsPerPeriod = 2
	// advertPeriods is the number of periods in which requests carry the advert of an entry that a peer of the region
	// doesn't know.
	advertPeriods = 10
	// slowGlobalPeriods and slowEntryPeriods are the intervals, in periods, at which the gateways and the other entries
	// of a large region request global state.
	slowGlobalPeriods = 4
	slowEntryPeriods  = 8
	// maxFastSummaryRegions is the largest number of regions with which summaries are reported every summaryPeriod
	// instead of every slowSummaryPeriod.
	maxFastSummaryRegions = 5
	summaryPeriod         = time.Second
	slowSummaryPeriod     = 10 * time.Second
	// originTTL is how long the state of an origin without a new heartbeat is considered live; originTTLPerEntry is added
	// for each live origin. slowOriginTTL replaces it in a large region, whose entries exchange less often.
	originTTL         = 3 * time.Second
	slowOriginTTL     = 5 * time.Second
	originTTLPerEntry = 200 * time.Millisecond
	// slowGatewayTTL is how long the state of a gateway without a new heartbeat is considered live if any region exchanges
	// at the slow rate; slowGatewayTTLPerRegion is added for each region. It exceeds the time that the standby needs to
	// take over.
	slowGatewayTTL          = 15 * time.Second
	slowGatewayTTLPerRegion = time.Second
)

// Key prefixes of the facts.
const (
	endpointKey = "p/"
	loadKey     = "l/"
	entryKey    = "n/"
	summaryKey  = "s/"
	crashesKey  = "c/"
)

// gossipState holds the state that this instance reports and receives: local state within the region, and global state
// between regions through their gateways.
type gossipState struct {
	region string
	local  *membership.Gossip[membership.Fact]
	global *membership.Gossip[membership.Fact]
	// cursor is the name of the endpoint whose load was reported last; loads are reported in turn.
	cursor string
	// loadCredit is the number of loads that may be reported now.
	loadCredit float64
	// period is the number of the current period.
	period int
	// advertPeriodsLeft is the number of periods in which requests still carry the instance's advert.
	advertPeriodsLeft int
	// localOrigins and globalOrigins are the numbers of live origins in the last period.
	localOrigins  int
	globalOrigins int
	// regions is the number of regions with live entries.
	regions int
	// slowExchange reports that at least one region is too large to exchange at the fast rate.
	slowExchange bool
	// crashRevisions holds the revision of the facts about crashes that was last reported to each exchange.
	crashRevisions map[*membership.Gossip[membership.Fact]]int
}

func newGossipState(now time.Time, self membership.Entry) *gossipState {
	incarnation := now.UnixNano()
	return &gossipState{
		region: self.Region, crashRevisions: map[*membership.Gossip[membership.Fact]]int{},
		local:  membership.NewGossip[membership.Fact](now, self.Name, incarnation),
		global: membership.NewGossip[membership.Fact](now, self.Name, incarnation),
	}
}

// localTTL returns how long an entry of the region is considered live after its last heartbeat.
func (f *gossipState) localTTL() time.Duration {
	ttl := originTTL
	if f.localOrigins > maxSmallRegionEntries {
		ttl = slowOriginTTL
	}
	return ttl + time.Duration(f.localOrigins)*originTTLPerEntry
}

// globalTTL returns how long a gateway is considered live after its last heartbeat.
func (f *gossipState) globalTTL() time.Duration {
	if f.slowExchange {
		return slowGatewayTTL + time.Duration(f.regions)*slowGatewayTTLPerRegion
	}
	return originTTL + time.Duration(f.globalOrigins)*originTTLPerEntry
}

// updateCounts updates the numbers of origins and regions and slowExchange, from which the TTLs are computed.
func (f *gossipState) updateCounts(now time.Time, live []membership.Entry) {
	regions := map[string]int{}
	f.slowExchange = false
	for _, e := range live {
		regions[e.Region]++
		f.slowExchange = f.slowExchange || regions[e.Region] > maxSmallRegionEntries
	}
	f.regions = len(regions)
	f.localOrigins = len(f.local.Marks(now, f.localTTL()))
	f.globalOrigins = len(f.global.Marks(now, f.globalTTL()))
}

// liveFacts returns the state reported by live origins.
func (f *gossipState) liveFacts(now time.Time) (endpoints []membership.Endpoint, entries []membership.Entry, summaries []membership.Summary) {
	add := func(_, _ string, fact membership.Fact) {
		if f.isOwnRegion(fact) {
			return
		}
		if fact.Entry != nil {
			entries = append(entries, *fact.Entry)
		}
		if fact.Summary != nil {
			summaries = append(summaries, *fact.Summary)
		}
	}
	f.global.Each(now, f.globalTTL(), add)
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

// isOwnRegion reports whether a gateway's fact is about the own region. Such facts are ignored, since gateways that
// repeat them to one another would keep a dead entry alive.
func (f *gossipState) isOwnRegion(fact membership.Fact) bool {
	return (fact.Entry != nil && fact.Entry.Region == f.region) || (fact.Summary != nil && fact.Summary.Region == f.region)
}

// updateGossip starts a new period and updates the state that this instance reports.
func (s *state) updateGossip(self membership.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.gossip.updateCounts(now, s.liveNow(now))
	s.gossip.local.Beat(now)
	s.gossip.reportEntry(s.gossip.local, self)
	s.gossip.period++
	s.gossip.advertPeriodsLeft = max(s.gossip.advertPeriodsLeft-1, 0)
	s.gossip.addLoadCredit(len(s.regionEntries(now)))
	s.gossip.reportEndpoints(s.table.Endpoints(now))
	s.gossip.reportCrashes(s.gossip.local, s.crashFacts, s.crashRevision)
	if !s.reportsRegion(now, self.Name) {
		for _, key := range s.gossip.global.Keys() {
			s.gossip.global.Drop(key)
		}
		return
	}
	s.gossip.global.Beat(now)
	s.reportRegion(now)
}

// addLoadCredit adds the instance's share of the endpoint loads that the region may report per period.
func (f *gossipState) addLoadCredit(entries int) {
	loads := float64(loadsPerPeriod)
	if entries > maxSmallRegionEntries {
		loads = slowLoadsPerPeriod
	}
	f.loadCredit = min(f.loadCredit+loads/float64(entries), loads)
}

// reportEntry reports an advert if it differs from the one reported before.
func (f *gossipState) reportEntry(gossip *membership.Gossip[membership.Fact], e membership.Entry) {
	reported, ok := gossip.Get(entryKey + e.Name)
	if !ok || e.Differs(*reported.Entry) {
		gossip.Put(entryKey+e.Name, membership.Fact{Entry: &e})
	}
}

// reportCrashes reports what this instance knows about crashes if it has changed since it was reported.
func (f *gossipState) reportCrashes(gossip *membership.Gossip[membership.Fact], facts crash.Facts, revision int) {
	if _, ok := gossip.Get(crashesKey); facts.Len() > 0 && (!ok || f.crashRevisions[gossip] != revision) {
		f.crashRevisions[gossip] = revision
		gossip.Put(crashesKey, membership.Fact{Crashes: &facts})
	}
}

// liveCrashes returns what other entries know about crashes.
func (f *gossipState) liveCrashes(now time.Time) crash.Facts {
	var facts crash.Facts
	add := func(_, _ string, fact membership.Fact) {
		if fact.Crashes != nil {
			facts = facts.Plus(*fact.Crashes)
		}
	}
	f.local.Each(now, f.localTTL(), add)
	f.global.Each(now, f.globalTTL(), add)
	return facts
}

// exchangeCrashes sets what this instance reports about crashes, and returns what other entries know.
func (s *state) exchangeCrashes(own crash.Facts, revision int) crash.Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashFacts, s.crashRevision = own, revision
	return s.gossip.liveCrashes(s.now())
}

// reportEndpoints reports the endpoints that announce themselves at this instance: changes and cache events at once,
// loads in turn within loadCredit.
func (f *gossipState) reportEndpoints(endpoints []membership.Endpoint) {
	f.dropAbsentEndpoints(endpoints)
	start, _ := slices.BinarySearchFunc(endpoints, f.cursor+"\x00", func(e membership.Endpoint, name string) int { return strings.Compare(e.Name, name) })
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		reported, ok := f.local.Get(endpointKey + e.Name)
		if !ok || e.Differs(*reported.Endpoint) {
			f.reportEndpoint(e)
			continue
		}
		sequence := reported.Endpoint.Sequence
		if load, ok := f.local.Get(loadKey + e.Name); ok {
			sequence = load.Load.Sequence
		}
		if e.Sequence <= sequence || f.loadCredit < 1 {
			continue
		}
		f.loadCredit--
		f.cursor = e.Name
		if e.CacheSequence+int64(len(e.CacheEvents)) != reported.Endpoint.CacheSequence+int64(len(reported.Endpoint.CacheEvents)) {
			f.reportEndpoint(e)
			continue
		}
		f.local.Put(loadKey+e.Name, membership.Fact{Load: &membership.EndpointLoad{Sequence: e.Sequence, Load: e.Load}})
	}
}

// reportEndpoint reports all data of an endpoint, which replaces a load reported separately before.
func (f *gossipState) reportEndpoint(e membership.Endpoint) {
	f.local.Put(endpointKey+e.Name, membership.Fact{Endpoint: &e})
	f.local.Drop(loadKey + e.Name)
}

// dropAbsentEndpoints withdraws the facts about endpoints that no longer announce themselves at this instance.
func (f *gossipState) dropAbsentEndpoints(endpoints []membership.Endpoint) {
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

// reportRegion reports the entries and the summaries of the own region to the other regions.
func (s *state) reportRegion(now time.Time) {
	current := map[string]bool{}
	for _, e := range s.regionEntries(now) {
		current[entryKey+e.Name] = true
		s.gossip.reportEntry(s.gossip.global, e)
	}
	if s.crashFacts.Len() > 0 {
		current[crashesKey] = true
		s.gossip.reportCrashes(s.gossip.global, s.crashFacts, s.crashRevision)
	}
	for _, summary := range membership.Summarize(now, s.region, s.endpointsNow(now)) {
		key := summaryKey + summary.Service
		current[key] = true
		reported, ok := s.gossip.global.Get(key)
		if !ok || now.Sub(reported.Summary.At) >= s.summaryPeriod(now) {
			s.gossip.global.Put(key, membership.Fact{Summary: &summary})
		}
	}
	for _, key := range s.gossip.global.Keys() {
		if !current[key] {
			s.gossip.global.Drop(key)
		}
	}
}

// summaryPeriod returns how often summaries are reported.
func (s *state) summaryPeriod(now time.Time) time.Duration {
	regions := map[string]bool{}
	for _, e := range s.liveNow(now) {
		regions[e.Region] = true
	}
	if len(regions) <= maxFastSummaryRegions {
		return summaryPeriod
	}
	return slowSummaryPeriod
}

// regionEntries returns the live entries of the own region, or one unnamed entry if none is known; the lock is held.
func (s *state) regionEntries(now time.Time) []membership.Entry {
	entries := slices.DeleteFunc(slices.Clone(s.liveNow(now)), func(e membership.Entry) bool { return e.Region != s.region })
	if len(entries) == 0 {
		return []membership.Entry{{Region: s.region}}
	}
	return entries
}

// isGateway reports whether the entry exchanges state with the other regions; the lock is held.
func (s *state) isGateway(now time.Time, name string) bool {
	return slices.Contains(membership.Rendezvous(s.region, entryNames(s.regionEntries(now)), gateways), name)
}

// reportsRegion reports whether the entry reports its region to the other regions. In a small region both gateways do;
// in a large one the first does, and the other takes over if the first fails. The lock is held.
func (s *state) reportsRegion(now time.Time, name string) bool {
	reporters := 1
	if s.smallRegion(now) {
		reporters = gateways
	}
	return slices.Contains(membership.Rendezvous(s.region, entryNames(s.regionEntries(now)), reporters), name)
}

func entryNames(entries []membership.Entry) []string {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return names
}

package membership

import (
	"slices"
	"strings"
	"time"
)

// Entry is the state of one of the system's own instances that serve callers.
type Entry struct {
	Name            string
	Region          string
	FailureDomain   string
	CallerAddress   string
	EndpointAddress string
	PeerAddress     string
	Weight          float64
	Leaving         bool
	// Incarnation grows at each start of the entry, and Sequence with each advert of one incarnation.
	Incarnation int64
	Sequence    int64
	// LedgerEpoch is the epoch of the region's ledger according to the entry's replica.
	LedgerEpoch string
}

// newer reports whether e replaces the known state old.
func (e Entry) newer(old Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

// Summary is the total capacity and load of one service of a region, as sent to other regions.
type Summary struct {
	Region          string
	Service         string
	Models          []string
	Endpoints       int
	Slots           int
	Running         int
	Queued          int
	TokensPerSecond float64
	Sequence        uint64
	At              time.Time
}

// Entries holds the known entries; it is not safe for concurrent use.
type Entries struct {
	entries  map[string]Entry
	lastSeen map[string]time.Time
	ttl      time.Duration
}

// NewEntries returns an empty set in which an entry without a newer advert for ttl expires.
func NewEntries(ttl time.Duration) *Entries {
	return &Entries{entries: map[string]Entry{}, lastSeen: map[string]time.Time{}, ttl: ttl}
}

// Update updates an entry from an advert received at the given time. An advert that is not newer than one received
// within the time to live is ignored, so that adverts repeated by peers neither undo a later one nor keep a dead entry
// alive.
func (s *Entries) Update(at time.Time, e Entry) {
	seen, ok := s.lastSeen[e.Name]
	if ok && at.Sub(seen) <= s.ttl && !e.newer(s.entries[e.Name]) {
		return
	}
	s.entries[e.Name] = e
	s.lastSeen[e.Name] = at
}

// Live returns the entries whose last accepted advert is within the time to live, ordered by name.
func (s *Entries) Live(now time.Time) []Entry {
	var live []Entry
	for name, e := range s.entries {
		if now.Sub(s.lastSeen[name]) <= s.ttl {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Summarize returns one summary for each service of the region's endpoints, without those that are leaving.
func Summarize(now time.Time, region string, endpoints []Endpoint) []Summary {
	byService := map[string]*Summary{}
	for _, e := range endpoints {
		if e.Leaving || e.Region != region {
			continue
		}
		s := byService[e.Service]
		if s == nil {
			s = &Summary{Region: region, Service: e.Service, At: now}
			byService[e.Service] = s
		}
		s.add(e)
	}
	summaries := make([]Summary, 0, len(byService))
	for _, s := range byService {
		summaries = append(summaries, *s)
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return summaries
}

func (s *Summary) add(e Endpoint) {
	s.Endpoints++
	s.Slots += e.Slots
	s.Running += e.Load.Running
	s.Queued += e.Load.Queued
	s.TokensPerSecond += e.Load.TokensPerSecond
	for _, model := range e.Models {
		if !slices.Contains(s.Models, model) {
			s.Models = append(s.Models, model)
		}
	}
}

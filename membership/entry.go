package membership

import (
	"slices"
	"strings"
	"time"
)

// Entry is one of the system's own instances that serve callers.
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
	// LedgerEpoch is the epoch of the ledger of the region, as the entry's replica knows it.
	LedgerEpoch string
}

// newer reports whether e replaces what is known as old.
func (e Entry) newer(old Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

// Summary is what other regions need to know of one service of a region.
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

// Entries holds the entries that were heard of; it is not safe for concurrent use.
type Entries struct {
	entries map[string]Entry
	heard   map[string]time.Time
	ttl     time.Duration
}

// NewEntries returns an empty set that forgets an entry not heard of for ttl.
func NewEntries(ttl time.Duration) *Entries {
	return &Entries{entries: map[string]Entry{}, heard: map[string]time.Time{}, ttl: ttl}
}

// Hear notes an advert at a time; one that is not newer than what was heard within the time to live is dropped, so that
// adverts that peers repeat neither undo a later one nor keep a dead entry alive.
func (s *Entries) Hear(at time.Time, e Entry) {
	heard, ok := s.heard[e.Name]
	if ok && at.Sub(heard) <= s.ttl && !e.newer(s.entries[e.Name]) {
		return
	}
	s.entries[e.Name] = e
	s.heard[e.Name] = at
}

// Live returns the entries heard of within the time to live, in the order of their names.
func (s *Entries) Live(now time.Time) []Entry {
	var live []Entry
	for name, e := range s.entries {
		if now.Sub(s.heard[name]) <= s.ttl {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Summarize returns one summary for each service of the region's endpoints, leaving ones left out.
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

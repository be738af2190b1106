package membership

import (
	"slices"
	"strings"

	"arbutusreel/crash"
)

// Fact is one published item of an entry; exactly one of its fields is set.
type Fact struct {
	Endpoint *Endpoint
	Entry    *Entry
	Summary  *Summary
	Load     *EndpointLoad
	// Crashes is all that the entry knows about crashes of endpoints.
	Crashes *crash.Facts
}

// EndpointLoad is a load of an endpoint that is newer than the one in its published state.
type EndpointLoad struct {
	Sequence int64
	Load     Load
}

// WithLoad returns the endpoint with the load l, or unchanged if l is not newer.
func (e Endpoint) WithLoad(l EndpointLoad) Endpoint {
	if l.Sequence > e.Sequence {
		e.Sequence, e.Load = l.Sequence, l.Load
	}
	return e
}

// Differs reports whether e differs from old in a field other than name, region, load, cache state and sequence.
func (e Endpoint) Differs(old Endpoint) bool {
	return e.Incarnation != old.Incarnation || e.Address != old.Address || e.Service != old.Service ||
		e.Slots != old.Slots || e.Leaving != old.Leaving || e.FailureDomain != old.FailureDomain ||
		!slices.Equal(e.Models, old.Models) || !slices.Equal(e.Versions, old.Versions) ||
		!slices.Equal(e.Loading, old.Loading) || e.OrderTerm != old.OrderTerm || e.OrderSequence != old.OrderSequence ||
		e.SoftwareVersion != old.SoftwareVersion
}

// Differs reports whether e differs from old in any field other than the sequence.
func (e Entry) Differs(old Entry) bool {
	e.Sequence = old.Sequence
	return e != old
}

// NewestEndpoints returns the newest announcement of each endpoint, ordered by name.
func NewestEndpoints(endpoints []Endpoint) []Endpoint {
	newest := map[string]Endpoint{}
	for _, e := range endpoints {
		if old, ok := newest[e.Name]; !ok || e.newer(old) {
			newest[e.Name] = e
		}
	}
	return sortedValues(newest, byName)
}

// NewestEntries returns the newest advert of each entry, ordered by name.
func NewestEntries(entries []Entry) []Entry {
	newest := map[string]Entry{}
	for _, e := range entries {
		if old, ok := newest[e.Name]; !ok || e.newer(old) {
			newest[e.Name] = e
		}
	}
	return sortedValues(newest, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}

// NewestSummaries returns the newest summary of each service of each region, ordered by region and service.
func NewestSummaries(summaries []Summary) []Summary {
	newest := map[string]Summary{}
	for _, s := range summaries {
		k := s.Region + "/" + s.Service
		if old, ok := newest[k]; !ok || s.At.After(old.At) {
			newest[k] = s
		}
	}
	return sortedValues(newest, func(a, b Summary) int { return strings.Compare(a.Region+"/"+a.Service, b.Region+"/"+b.Service) })
}

func sortedValues[T any](values map[string]T, compare func(a, b T) int) []T {
	list := make([]T, 0, len(values))
	for _, v := range values {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}

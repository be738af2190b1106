package membership

import (
	"slices"
	"strings"
)

// Fact is one thing that an entry tells: exactly one of its fields is set.
type Fact struct {
	Endpoint *Endpoint
	Entry    *Entry
	Summary  *Summary
	Load     *EndpointLoad
}

// EndpointLoad is a later load of an endpoint than the one with which it was told.
type EndpointLoad struct {
	Sequence int64
	Load     Load
}

// WithLoad returns the endpoint with a load that was reported later.
func (e Endpoint) WithLoad(l EndpointLoad) Endpoint {
	if l.Sequence > e.Sequence {
		e.Sequence, e.Load = l.Sequence, l.Load
	}
	return e
}

// Differs reports whether e says something else than old beside its load and its sequence.
func (e Endpoint) Differs(old Endpoint) bool {
	return e.Incarnation != old.Incarnation || e.Address != old.Address || e.Service != old.Service ||
		e.Slots != old.Slots || e.Leaving != old.Leaving || e.FailureDomain != old.FailureDomain || !slices.Equal(e.Models, old.Models) ||
		!slices.Equal(e.Versions, old.Versions) || !slices.Equal(e.Loading, old.Loading) || e.OrderTerm != old.OrderTerm || e.OrderSequence != old.OrderSequence
}

// Differs reports whether e says something else than old beside its sequence.
func (e Entry) Differs(old Entry) bool {
	e.Sequence = old.Sequence
	return e != old
}

// NewestEndpoints returns the newest announcement of each endpoint, in the order of their names.
func NewestEndpoints(endpoints []Endpoint) []Endpoint {
	newest := map[string]Endpoint{}
	for _, e := range endpoints {
		if old, ok := newest[e.Name]; !ok || e.newer(old) {
			newest[e.Name] = e
		}
	}
	return ordered(newest, byName)
}

// NewestEntries returns the newest advert of each entry, in the order of their names.
func NewestEntries(entries []Entry) []Entry {
	newest := map[string]Entry{}
	for _, e := range entries {
		if old, ok := newest[e.Name]; !ok || e.newer(old) {
			newest[e.Name] = e
		}
	}
	return ordered(newest, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}

// NewestSummaries returns the newest summary of each service of each region, in the order of region and service.
func NewestSummaries(summaries []Summary) []Summary {
	newest := map[string]Summary{}
	for _, s := range summaries {
		k := s.Region + "/" + s.Service
		if old, ok := newest[k]; !ok || s.At.After(old.At) {
			newest[k] = s
		}
	}
	return ordered(newest, func(a, b Summary) int { return strings.Compare(a.Region+"/"+a.Service, b.Region+"/"+b.Service) })
}

func ordered[T any](values map[string]T, compare func(a, b T) int) []T {
	list := make([]T, 0, len(values))
	for _, v := range values {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}

package gateway

import (
	"slices"

	"arbutusreel/fleet"
	"arbutusreel/origin"
)

// softwareMemory is how long a software version is known after the last endpoint had it. It exceeds the time within which
// callers resume streams.
const softwareMemory = 2 * originRetention

// softwareVersions holds the software versions of the endpoints of all regions, as of one view.
type softwareVersions struct {
	// ready holds the regions with ready endpoints by origin.
	ready map[origin.Origin][]string
	// known holds all versions of a service, also those of endpoints that have left.
	known map[string][]string
}

func newSoftwareVersions() softwareVersions {
	return softwareVersions{ready: map[origin.Origin][]string{}, known: map[string][]string{}}
}

// add adds an endpoint of a region; serves reports whether it is ready to serve.
func (s softwareVersions) add(e fleet.Endpoint, region string, serves bool) {
	o := origin.Origin{Service: e.Service, Software: e.Software}
	s.remember(o)
	if serves && !slices.Contains(s.ready[o], region) {
		s.ready[o] = append(s.ready[o], region)
	}
}

// remember adds a version that an endpoint has or had.
func (s softwareVersions) remember(o origin.Origin) {
	if !slices.Contains(s.known[o.Service], o.Software) {
		s.known[o.Service] = append(s.known[o.Service], o.Software)
	}
}

// serves reports whether a region has ready endpoints of an origin.
func (s softwareVersions) serves(region string, o origin.Origin) bool {
	return slices.Contains(s.ready[o], region)
}

// only returns the origin of all streams of a service if all of its endpoints, including those that have left, have the
// same software version.
func (s softwareVersions) only(service string) (origin.Origin, bool) {
	if len(s.known[service]) != 1 {
		return origin.Origin{}, false
	}
	return origin.Origin{Service: service, Software: s.known[service][0]}, true
}

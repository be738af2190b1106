package routes

import (
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request of a route may run and how it is answered.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a series of events, and run at most once unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Backend is a service that serves a share of a route's requests.
type Backend struct {
	Service string
	Weight  int64
}

// Route configures how requests under a host and a path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Backends   []Backend
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Objective is the target time to the start of an answer or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the target for the longest pause between two events of a stream; zero sets no target.
	GapObjective time.Duration
	// Priority ranks the route among those of its service; zero is the most urgent.
	Priority int
	// MaxAttempts is the greatest number of endpoints that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be resumed at another endpoint after the last forwarded event.
	Resumable bool
	// Affinity enables prefix cache affinity: requests name the parts of their prompt, which endpoints cache.
	Affinity bool
	// HomeRegions are the regions in which requests may be served; empty allows every region.
	HomeRegions []string
	// Public routes need no credential.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Allows reports whether requests of the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Engine describes the model engines of a service.
type Engine struct {
	// BatchSlots is the number of requests that an engine decodes at once.
	BatchSlots int
	// CacheTokens is the number of tokens that an engine's KV cache holds.
	CacheTokens int64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// FetchTimePerToken is the time to fetch the KV cache of one prompt token from another engine; zero if engines
	// cannot fetch.
	FetchTimePerToken time.Duration
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdTime is the length of the warm-up after an endpoint starts.
	ColdTime time.Duration
	// ColdRate is the limit of requests a second at a cold endpoint; zero sets no limit.
	ColdRate float64
	// Engine is nil if the endpoints of the service are not model engines.
	Engine *Engine
}

// Limits are the configured limits on what a caller may send, and on how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a validated routing configuration.
type Table struct {
	version  int64
	limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
	// teams and credentials are nil if the configuration has no teams.
	teams       map[string]*Team
	credentials map[Credential]*Team
	// teamHomes are the homes of the teams.
	teamHomes teamHomes
}

// New returns the table of a version, or Faults if a route or service is not valid.
func New(version int64, all []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{version: version, limits: limits, services: map[string]*Service{}, hosts: map[string][]*Route{}}
	var faults Faults
	for _, s := range services {
		if t.services[s.Name] != nil {
			faults = append(faults, &Fault{Service: s.Name, Reason: "the service is listed twice"})
		}
		t.services[s.Name] = &s
	}
	for _, r := range all {
		faults = append(faults, t.addRoute(&r)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	for _, hostRoutes := range t.hosts {
		slices.SortFunc(hostRoutes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t, nil
}

// addRoute adds the route and returns its faults.
func (t *Table) addRoute(r *Route) Faults {
	var faults Faults
	addFault := func(reason string) { faults = append(faults, &Fault{Route: r.Name, Reason: reason}) }
	if r.Host == "" {
		addFault("the host is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		addFault("the path prefix does not begin and end with a slash")
	}
	if r.Timeout <= 0 {
		addFault("the timeout is not greater than zero")
	}
	if r.MaxAttempts < 1 {
		addFault("the number of attempts is not greater than zero")
	}
	var weight int64
	for _, b := range r.Backends {
		if t.services[b.Service] == nil {
			addFault("the service " + b.Service + " does not exist")
		}
		if b.Weight < 0 {
			addFault("the weight of " + b.Service + " is negative")
		}
		weight += b.Weight
	}
	if weight <= 0 {
		addFault("the weights add up to zero")
	}
	host := strings.ToLower(r.Host)
	if slices.ContainsFunc(t.hosts[host], func(other *Route) bool { return other.PathPrefix == r.PathPrefix }) {
		addFault("another route has the same host and path prefix")
	}
	t.hosts[host] = append(t.hosts[host], r)
	return faults
}

// Version returns the table's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of requests and connections.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Serves reports whether any route has the host.
func (t *Table) Serves(host string) bool { return len(t.hosts[strings.ToLower(host)]) > 0 }

// HomeRegions returns the home regions of the routes of a host that have any: shared holds the regions that all of these
// routes allow, and some those that any of them allows. If all teams have home regions, only those that all of them allow, or
// any of them, remain. It returns false if neither routes nor teams restrict the regions.
func (t *Table) HomeRegions(host string) (shared, some []string, restricted bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if len(r.HomeRegions) == 0 {
			continue
		}
		if !restricted {
			shared = slices.Clone(r.HomeRegions)
		}
		restricted = true
		shared = slices.DeleteFunc(shared, func(region string) bool { return !r.Allows(region) })
		for _, region := range r.HomeRegions {
			if !slices.Contains(some, region) {
				some = append(some, region)
			}
		}
	}
	if !t.Serves(host) || !t.teamHomes.restricted {
		return shared, some, restricted
	}
	if !restricted {
		return slices.Clone(t.teamHomes.shared), slices.Clone(t.teamHomes.some), true
	}
	return intersect(shared, t.teamHomes.shared), intersect(some, t.teamHomes.some), true
}

// Match returns the route of a host, with or without a port, and an escaped path; it returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RouteNamed returns the route of a name, or nil.
func (t *Table) RouteNamed(name string) *Route {
	for _, all := range t.hosts {
		for _, r := range all {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// Serves reports whether requests of the route may be served by a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// GoesOnAt reports whether a stream may go on at the service that began it: one in progress also after its route has moved to another service,
// since it was taken while the route went there.
func (r *Route) GoesOnAt(service string, inProgress bool) bool {
	return inProgress || r.Serves(service)
}

// Choose returns the service that a uniform draw in [0, 1) selects by the weights of the backends.
func (r *Route) Choose(draw float64) string {
	var total int64
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		if remaining < float64(b.Weight) {
			return b.Service
		}
		remaining -= float64(b.Weight)
	}
	return r.Backends[len(r.Backends)-1].Service
}

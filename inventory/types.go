package inventory

import "time"

// ServiceKind tells model engines from plain services.
type ServiceKind int

// Kinds of services.
const (
	KindModel ServiceKind = iota
	KindPlain
)

// Region is a place with failure domains of its own.
type Region struct {
	Name                  string
	FailureDomains        []string
	CostPerThousandTokens float64
}

// Link is the path between two regions, in both directions.
type Link struct {
	From            string
	To              string
	BytesPerSecond  int64
	RoundTrip       time.Duration
	CostPerGigabyte float64
}

// Label marks data and names the regions in which it may be handled.
type Label struct {
	Name           string
	AllowedRegions []string
}

// Model is a set of weights with its versions and adapters; no AllowedRegions allows every region.
type Model struct {
	Name     string
	Versions []string
	// Version is the one in force; if it is empty, engines may hold any.
	Version        string
	Adapters       []string
	AllowedRegions []string
	WeightBytes    int64
}

// Adapter gives the size of a model's adapter and bounds its regions; no AllowedRegions adds no bound.
type Adapter struct {
	Model          string
	Name           string
	WeightBytes    int64
	AllowedRegions []string
}

// Service is a deployment of endpoints that callers reach by one name; no AllowedRegions allows every region.
type Service struct {
	Name                 string
	Kind                 ServiceKind
	Models               []string
	ChecksFencing        bool
	Idempotent           bool
	AllowedRegions       []string
	MinEndpointsPerModel int
}

// Class is a kind of request with its patience; lower priorities are served first.
type Class struct {
	Name       string
	Priority   int
	Weight     float64
	Patience   time.Duration
	Deferrable bool
}

// Team is a caller with its home region and limits; a zero TokensPerSecond is unlimited.
type Team struct {
	Name             string
	HomeRegion       string
	CredentialDigest string
	Classes          []string
	DefaultClass     string
	Labels           []string
	TokensPerSecond  float64
	Weight           float64
}

// Objective weighs cost, latency and work sent away against one another.
type Objective struct {
	Cost    float64
	Latency float64
	Away    float64
}

// Rules are the operators' choices on top of what they own.
type Rules struct {
	Objective                 Objective
	RetryBudget               float64
	ReservationQuantile       float64
	Headroom                  float64
	MaxPlacementChanges       int
	WeightStoreBytesPerSecond int64
}

// Contents is everything that an inventory holds, before it is checked.
type Contents struct {
	Regions  []Region
	Links    []Link
	Labels   []Label
	Models   []Model
	Adapters []Adapter
	Services []Service
	Classes  []Class
	Teams    []Team
	Rules    Rules
}

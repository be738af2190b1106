package inventory

import "time"

// ServiceKind distinguishes model engines from plain services.
type ServiceKind int

// Kinds of services.
const (
	KindModel ServiceKind = iota
	KindPlain
)

// Region is a site with its own failure domains.
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

// Label marks data and lists the regions in which it may be processed.
type Label struct {
	Name           string
	AllowedRegions []string
}

// Model is a set of weights with its versions and adapters; no AllowedRegions allows every region.
type Model struct {
	Name     string
	Versions []string
	// Version is the version in force; if it is empty, engines may hold any version.
	Version        string
	Adapters       []string
	AllowedRegions []string
	WeightBytes    int64
}

// Adapter gives the size and the allowed regions of a model's adapter; no AllowedRegions adds no restriction.
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

// Class is a request class with the patience of its requests; lower priorities are served first.
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

// Objective holds the weights of cost, latency and work forwarded to other regions.
type Objective struct {
	Cost    float64
	Latency float64
	Away    float64
}

// Rules are the operators' settings for placement, routing and retries.
type Rules struct {
	Objective                 Objective
	RetryBudget               float64
	ReservationQuantile       float64
	Headroom                  float64
	MaxPlacementChanges       int
	WeightStoreBytesPerSecond int64
}

// Contents is the unvalidated contents of an inventory.
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

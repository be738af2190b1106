package placement

import (
	"time"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
)

// Endpoint is the announced state of an engine.
type Endpoint struct {
	Name          string
	Region        string
	FailureDomain string
	Service       string
	// Models are the names that the endpoint serves: MODEL, MODEL@VERSION if it knows the version, or MODEL:ADAPTER.
	Models []string
	// Loading are the names that the endpoint is loading by an order and does not serve yet.
	Loading []string
	// Order is the number of the last order that the endpoint applied.
	Order fencing.Number
	// Capacity is the number of models that fit; adapters take no capacity.
	Capacity        int
	TokensPerSecond float64
	Leaving         bool
}

// Demand is the token rate that callers in a region request from a model or adapter; an empty AllowedRegions allows
// every region.
type Demand struct {
	Region          string
	Service         string
	Model           string
	AllowedRegions  []string
	TokensPerSecond float64
}

// View is the state known to the leader at one time.
type View struct {
	Inventory *inventory.Inventory
	Endpoints []Endpoint
	Demands   []Demand
}

// Reason is the reason of a change.
type Reason string

// Reasons of changes, the most urgent first.
const (
	// NotAllowed means that the endpoint holds a model that the inventory does not allow there.
	NotAllowed Reason = "modelNotAllowed"
	// BelowMinimum means that fewer endpoints than the service's minimum hold the model.
	BelowMinimum Reason = "belowMinimum"
	// OldVersion means that an endpoint holds another version of the model than the one in force.
	OldVersion Reason = "versionNotInForce"
	// DemandAboveSupply means that the endpoints that hold the model cannot meet its demand.
	DemandAboveSupply Reason = "demandAboveSupply"
)

// urgency orders reasons; lower is more urgent.
func (r Reason) urgency() int {
	switch r {
	case NotAllowed:
		return 0
	case BelowMinimum:
		return 1
	case OldVersion:
		return 2
	default:
		return 3
	}
}

// Change is an order to one endpoint, with its reason.
type Change struct {
	Endpoint string
	Region   string
	Service  string
	// Models are all names that the endpoint is to hold, a model before its adapters.
	Models []string
	// Load is the name that the change is made for; the model of an adapter may have to be loaded before it.
	Load   string
	Unload []string
	Reason Reason
	// LoadTime is the time that the weight store takes to serve the loaded weights.
	LoadTime time.Duration
	// Need and Supply are those of the name to load, and Gain is the additional demand met, in tokens a second.
	Need   float64
	Supply float64
	Gain   float64
	// Copies is the number of endpoints that hold the name to load, before the change.
	Copies int
}

// Config holds the parameters of a Planner.
type Config struct {
	// Persistence is how long a need must last before a change is made for it.
	Persistence time.Duration
	// Cooldown is how long an endpoint is not changed again after a change.
	Cooldown time.Duration
	// Horizon is the time over which the gain of a change must outweigh its load time.
	Horizon time.Duration
	// LoadGrace is added to the expected load time before a change counts as failed.
	LoadGrace time.Duration
	// MinGain is the least gain of a change, as a fraction of the endpoint's tokens a second.
	MinGain float64
}

// DefaultConfig returns the parameters of a planner that decides once in each period.
func DefaultConfig(period time.Duration) Config {
	return Config{
		Persistence: 2 * period,
		Cooldown:    4 * period,
		Horizon:     10 * time.Minute,
		LoadGrace:   30 * time.Second,
		MinGain:     0.1,
	}
}

package placement

import (
	"time"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
)

// Endpoint is an engine as it announced itself.
type Endpoint struct {
	Name          string
	Region        string
	FailureDomain string
	Service       string
	// Models are the names of what the endpoint serves now: MODEL, MODEL@VERSION if it knows the version, or MODEL:ADAPTER.
	Models []string
	// Loading are the names that the endpoint loads by an order and does not serve yet.
	Loading []string
	// Order is the number of the last order that the endpoint applied.
	Order fencing.Number
	// Capacity is the number of models that fit; adapters need no room of their own.
	Capacity        int
	TokensPerSecond float64
	Leaving         bool
}

// Demand is what callers in a region ask of a model or an adapter; an empty AllowedRegions allows every region.
type Demand struct {
	Region          string
	Service         string
	Model           string
	AllowedRegions  []string
	TokensPerSecond float64
}

// View is what the leader knows at one time.
type View struct {
	Inventory *inventory.Inventory
	Endpoints []Endpoint
	Demands   []Demand
}

// Reason is why a change is made.
type Reason string

// Reasons of changes, the most urgent first.
const (
	// NotAllowed says that the endpoint holds a model that the inventory does not allow there.
	NotAllowed Reason = "modelNotAllowed"
	// BelowMinimum says that fewer endpoints than the service's minimum hold the model.
	BelowMinimum Reason = "belowMinimum"
	// OldVersion says that an endpoint holds another version of the model than the one in force.
	OldVersion Reason = "versionNotInForce"
	// Short says that the endpoints that hold the model cannot meet its demand.
	Short Reason = "demandAboveSupply"
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

// Change is an order to one endpoint with its reason.
type Change struct {
	Endpoint string
	Region   string
	Service  string
	// Models are the names of all that the endpoint is to hold, a model before its adapters.
	Models []string
	// Load is the name for the sake of which the change is made; an adapter's model may have to be loaded before it.
	Load   string
	Unload []string
	Reason Reason
	// LoadTime is the time in which the weight store serves what is loaded.
	LoadTime time.Duration
	// Need and Supply are those of the name to load, and Gain is the demand that the change meets, in tokens a second.
	Need   float64
	Supply float64
	Gain   float64
	// Copies is the number of endpoints that hold the name to load, before the change.
	Copies int
}

// Config bounds the planner.
type Config struct {
	// Persistence is how long a need must last before a change answers it.
	Persistence time.Duration
	// Rest is how long an endpoint is left alone after a change.
	Rest time.Duration
	// Horizon is the time over which a change must pay for its load time.
	Horizon time.Duration
	// LoadGrace is added to the expected load time before a change counts as failed.
	LoadGrace time.Duration
	// MinGain is the least gain of a change, as a share of the endpoint's tokens a second.
	MinGain float64
}

// DefaultConfig returns the bounds for a planner that decides at the period.
func DefaultConfig(period time.Duration) Config {
	return Config{
		Persistence: 2 * period,
		Rest:        4 * period,
		Horizon:     10 * time.Minute,
		LoadGrace:   30 * time.Second,
		MinGain:     0.1,
	}
}

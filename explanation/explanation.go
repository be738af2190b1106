package explanation

import "time"

// Explanation is where a request would go now, and why.
type Explanation struct {
	// Gateway and GatewayRegion are those of the gateway that answers.
	Gateway, GatewayRegion string
	// RouteVersion is the version of the routing document, and ViewAge the age of what the gateway knows of the fleet.
	RouteVersion int64
	ViewAge      time.Duration
	// Route and Service are what the request is for.
	Route, Service string
	Decision       Decision
	Candidates     []Candidate
	Excluded       []Excluded
	Regions        []Region
	// Team is nil if no team is given.
	Team *Team
}

// Decision is where the request would go.
type Decision struct {
	// Verdict is take, takeLate or refuse.
	Verdict string
	// Endpoint is empty if another gateway chooses it, or if the request is refused.
	Endpoint string
	// Region and Gateway are those that the request is sent to; empty for an endpoint of this region.
	Region, Gateway string
	// Handed reports that a gateway of the own region gets the request, as this one reaches no endpoint.
	Handed bool
	// FetchFrom is the address of the engine from which cached parts of the prompt are fetched; empty for none.
	FetchFrom string
	// Reason is that of a refusal, and RetryAfter when its caller may return.
	Reason     string
	RetryAfter time.Duration
	// Expected and End are the expected times to the first chunk and to the end; zero if they are not known.
	Expected, End, Cost time.Duration
	// Rank is the place in the order of requests; zero is the most urgent.
	Rank int
}

// Candidate is an endpoint that may get the request.
type Candidate struct {
	Endpoint string
	Chosen   bool
	// Expected and End are the expected times to the first chunk and to the end; zero if they are not known.
	Expected, End time.Duration
	// Cost is Expected plus Decode, Read, Detour, Failure and Finish. Miss decides only between the candidates: the cost of another copy
	// of the shared parts, of a late first chunk and of a refusal where the holders of the parts are known.
	Cost, Decode, Read, Detour, Failure, Finish, Miss time.Duration
	// CachedTokens are the prompt tokens that the endpoint need not prefill, as it has them cached, or fetches them from another endpoint.
	CachedTokens int64
	Fetches      bool
	// Pace is relative to the usual endpoint, above one if it is slower; zero if it is not known.
	Pace float64
	// Requests are outstanding at the endpoint, of all gateways, and HeldTokens is the memory that they hold. A limit of zero is not
	// known.
	Requests, Slots    int
	HeldTokens, Memory int64
	// Preferred reports that the prompt's shared parts belong to the endpoint. Full, Crowded and MemoryFull report that it has no free
	// slot, none for requests as urgent as this one, and no memory for it.
	Preferred, Full, Crowded, MemoryFull bool
}

// Excluded is an endpoint that would not get the request.
type Excluded struct {
	Endpoint, Reason string
}

// Region is another region as it has reported itself.
type Region struct {
	Name   string
	Chosen bool
	// Reason is why the region is not chosen; empty if it is.
	Reason string
	// Gateways is the number of gateways to which the request might be forwarded.
	Gateways int
	// Reported is true if the region has reported its capacity for the service. What follows is known only then.
	Reported     bool
	Age          time.Duration
	Endpoints    int
	PromptTokens int64
	// Busy is the share of time spent on prefill, and Occupied that of the slots taken.
	Busy, Occupied float64
	// Expected and Cost are what the request would take there; zero if the region has no room.
	Expected, Cost time.Duration
}

// Team is the standing of the caller's team at the gateway that answers.
type Team struct {
	Name string
	// Priority is the scheduling level of the team's requests on the route; zero is the most urgent.
	Priority int
	// Share and Used are the team's fair share of what the region admits and what it has used of that, in recent tokens. ShareEnforced
	// reports that another team lacks its share.
	Share, Used   float64
	ShareEnforced bool
	// Allotment is nil if the team has no limit.
	Allotment *Allotment
}

// Allotment is what a gateway knows of a team's allotment, in its unit.
type Allotment struct {
	// Unit is tokens or requests, and Cost what the request would be charged.
	Unit string
	Cost float64
	// State is whether the request would get its cost.
	State AllotmentState
	// Rate and Burst are those over all gateways together.
	Rate, Burst float64
	// Held is what the gateway has drawn and not used.
	Held float64
	// Owner is the gateway that owns the region's share. Level is what is left of the share; it is known to the owner only.
	Owner      string
	LevelKnown bool
	Level      float64
	// Short is after which time the owner is expected to have the cost, if it has lately said that it has not; zero otherwise.
	Short time.Duration
}

// AllotmentState is whether a request would get its cost of an allotment, as the gateway that answers knows.
type AllotmentState string

// States of an allotment.
const (
	// AllotmentEnough: the gateway holds the cost, or owns the region's share and has it.
	AllotmentEnough AllotmentState = "enough"
	// AllotmentShort: the owner of the region's share lacks it. Owners of other regions would be asked.
	AllotmentShort AllotmentState = "short"
	// AllotmentAsked: the owner of the region's share, another gateway, would be asked.
	AllotmentAsked AllotmentState = "ownerAsked"
	// AllotmentNoOwner: no owner of the region's share is known.
	AllotmentNoOwner AllotmentState = "noOwner"
)

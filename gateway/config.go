package gateway

import (
	"net/http"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/configuration"
	"arbutusreel/keys"
	"arbutusreel/metrics"
	"arbutusreel/routes"
)

// Config is what a gateway needs to know at its start.
type Config struct {
	Name           string
	Region         string
	FailureDomain  string
	CallerAddress  string
	LoadAddress    string
	ForwardAddress string
	// Controls are the peer addresses of control daemons to contact first.
	Controls []string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// Dialect reads and writes the headers of callers and endpoints.
	Dialect Dialect
	// Decode returns the table of a document; a document that cannot be read is an error.
	Decode func(configuration.Document) (*routes.Table, error)
	// RetryRatio, RetryReserve and RetryWindow bound the repeats of all gateways together.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdBurst multiplies a cold endpoint's rate to what it bears in one second, and ColdReserve adds to it.
	ColdBurst   float64
	ColdReserve float64
	// Grace is the time between a planned stop and the end of the process.
	Grace time.Duration
	// Detour is the round trip between two regions.
	Detour  time.Duration
	Keys    *keys.Source
	Metrics *metrics.Set
}

// Call is what a caller's headers say of its request.
type Call struct {
	ID string
	// Patience is how long the caller waits; zero if it was not told.
	Patience time.Duration
	Work     capacity.Work
	// LastEvent is the last event that the caller has of a stream that it resumes; negative if it begins anew.
	LastEvent int64
}

// NoEvent is the last event of a caller that has none.
const NoEvent = -1

// Order is what the gateway asks of an endpoint besides the caller's request.
type Order struct {
	// Instance is the id that the endpoint must have.
	Instance string
	// FetchFrom is the address of an engine that keeps shared parts of the prompt; empty if none are to be fetched.
	FetchFrom string
	// Left is the time until the answer is of no use.
	Left time.Duration
	// Urgency ranks the request at a model engine, zero first; negative sets none.
	Urgency   int
	LastEvent int64
}

// Verdict is what an endpoint's answer says of the request.
type Verdict struct {
	// Rejected says that the endpoint did not run the request, and never will.
	Rejected bool
	// Signed says that the answer is an endpoint's own.
	Signed bool
	// ColdFor is how long the endpoint stays cold; zero if it was not told.
	ColdFor time.Duration
}

// Dialect reads and writes the headers of callers and endpoints.
type Dialect interface {
	// Call reads a caller's headers; headers that cannot be read are an error.
	Call(h http.Header) (Call, error)
	// Prepare removes what callers may not say from a copy of their headers, and sets an order.
	Prepare(h http.Header, o Order)
	// Forward sets the time left in headers that go to another gateway.
	Forward(h http.Header, left time.Duration)
	// Owns reports whether an answer belongs to the request with the id; fresh says that its connection is new.
	Owns(h http.Header, status int, id string, fresh bool) bool
	// Verdict reads an endpoint's answer.
	Verdict(h http.Header, status int) Verdict
}

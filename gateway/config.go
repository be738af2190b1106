package gateway

import (
	"net/http"
	"time"

	"arbutusreel/acceptor"
	"arbutusreel/access"
	"arbutusreel/capacity"
	"arbutusreel/configuration"
	"arbutusreel/keys"
	"arbutusreel/limits"
	"arbutusreel/metrics"
	"arbutusreel/routes"
)

// Config configures a gateway.
type Config struct {
	Name           string
	Region         string
	FailureDomain  string
	CallerAddress  string
	LoadAddress    string
	ForwardAddress string
	// Controls are the peer addresses of the control daemons to connect to first.
	Controls []string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Headers reads and writes the headers of callers and endpoints.
	Headers HeaderCodec
	// Decode returns the routing table of a document, or an error if it is invalid.
	Decode func(configuration.Document) (*routes.Table, error)
	// RetryRatio, RetryReserve and RetryWindow bound the retries of all gateways together: in each window, the ratio
	// times the first attempts plus the reserve.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdBurst is the factor from a cold endpoint's rate to the number of requests that it accepts in one second, and
	// ColdReserve is added to the product.
	ColdBurst   float64
	ColdReserve float64
	// Quota bounds what a team may use of its allotment in a window over all gateways.
	Quota limits.Rule
	// Grace is the time between a planned stop and the end of the process.
	Grace time.Duration
	// RegionRoundTrip is the round-trip time between two regions.
	RegionRoundTrip time.Duration
	// Pressure enables the placement for deployments whose endpoints queue requests and crash if these exceed their memory: whole
	// prompts count as held memory, and caches are expected to evict parts.
	Pressure bool
	// CacheRetention says whether cached prompts are weighed against the wait by how long endpoints keep them.
	CacheRetention CacheRetention
	// DrawPlain enables drawing plain endpoints by their free places, and a region that forwards requests reports no free capacity. It
	// avoids most rejections by endpoints, but serves fewer callers while a region is overloaded.
	DrawPlain bool
	// Access is what the gateway does while it may have missed revocations of credentials.
	Access access.Policy
	// Weight is the size of the gateway relative to others, or zero if it is not known.
	Weight float64
	// MemoryBytes is the memory limit of the process, of which a part is a budget for answers and bodies; zero sets none.
	MemoryBytes int64
	Keys        *keys.Source
	Metrics     *metrics.Set
	// Connections and PeerConnections bound the connections of callers and of peers; nil sets no bound.
	Connections, PeerConnections *acceptor.Acceptor
}

// Call holds what a caller's headers say about its request.
type Call struct {
	ID string
	// Caller identifies the caller; empty if not given.
	Caller string
	// Patience is how long the caller waits for the answer; zero if not given.
	Patience time.Duration
	Work     capacity.Work
	// MaxOutputTokens is the caller's bound on the number of output tokens, which Work.OutputTokens estimates.
	MaxOutputTokens int64
	// Credential is that of the caller's key; nil if none was sent.
	Credential *routes.Credential
	// LastEvent is the ID of the last event that the caller received of a stream that it resumes; negative for a new
	// stream.
	LastEvent int64
	// Resumes is the ID of the request whose answer began the stream that this request resumes; empty if not given.
	Resumes string
}

// NoEvent is the event ID that stands for no event.
const NoEvent = -1

// EndpointHeaders holds the headers that the gateway sets for an endpoint in addition to those of the caller.
type EndpointHeaders struct {
	// Instance is the ID that the endpoint must have.
	Instance string
	// FetchFrom is the address of an engine from which the cached prefix of the prompt is fetched; empty for none.
	FetchFrom string
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Urgency is the scheduling priority at a model engine, where lower goes first; negative sets none.
	Urgency   int
	LastEvent int64
	// Team is the name of the caller's team; empty for none.
	Team string
	// HideCredential removes the caller's key.
	HideCredential bool
}

// Verdict is the meaning of an endpoint's answer for the request.
type Verdict struct {
	// Rejected reports that the endpoint did not run the request, and never will.
	Rejected bool
	// Signed reports that the answer was made by an endpoint.
	Signed bool
	// ColdFor is how long the endpoint stays cold; zero if not given.
	ColdFor time.Duration
	// Leaving reports that the endpoint is about to end and must get no new requests.
	Leaving bool
	// PauseFor is how long the endpoint wants no requests from this gateway; zero if not given.
	PauseFor time.Duration
	// Limit is what the answer says of the requests that the endpoint takes.
	Limit Limit
	// Brittle is what it says of the requests that the endpoint may have to reject before it falls over.
	Brittle Limit
	// Load is what it says of the endpoint's present load.
	Load Load
}

// Load is an endpoint's own report of its load at one moment. The zero value reports none.
type Load struct {
	// Known reports that the answer held a valid report.
	Known bool
	// Running, Waiting and Slots are numbers of requests.
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine relative to the usual time; zero if not given.
	Pace float64
}

// Limit is what an answer of an endpoint says of the requests a second that it takes, or bears to reject, from all gateways together. The zero value
// names none.
type Limit struct {
	// Named reports that the answer names a limit of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// Invalid is the text, quoted, that should name a limit and does not; empty if there is none.
	Invalid string
}

// HeaderCodec reads and writes the headers of callers and endpoints.
type HeaderCodec interface {
	// Call reads a caller's headers; it returns an error if they are invalid.
	Call(h http.Header) (Call, error)
	// Prepare removes the headers that callers may not set from a copy of their headers, and sets those of e.
	Prepare(h http.Header, e EndpointHeaders)
	// Forward sets the time left in headers that are sent to another gateway, replaces the name that the caller gives its team by
	// team, and removes the caller's key if hideCredential is set.
	Forward(h http.Header, left time.Duration, team string, hideCredential bool)
	// ResponseID returns the identifier of the request that an answer names; it is empty if it names none.
	ResponseID(h http.Header) string
	// Verdict reads an endpoint's answer.
	Verdict(h http.Header, status int) Verdict
}

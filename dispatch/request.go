package dispatch

import (
	"slices"
	"time"

	"arbutusreel/origin"
	"arbutusreel/residency"
)

// Hop is an instance that a request has passed through.
type Hop struct {
	Instance string
	Region   string
}

// Request is a checked request; it is not modified after its creation.
type Request struct {
	CorrelationID string
	Team          string
	Class         string
	// Priority is the priority of the class; engines serve lower numbers first.
	Priority       int
	Labels         []string
	Service        string
	Model          string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Streaming      bool
	PromptTokens   int
	MaxTokens      int
	Deadline       time.Time
	Via            []Hop
	IdempotencyKey string
	Epoch          string
	// Prefixes are the hashes of the prompt's prefixes of whole blocks, the shortest first.
	Prefixes []uint64
	// Resume is where the answer continues if an earlier attempt has sent a part of it.
	Resume Attempt
	// Claimed reports whether the ledger of the caller's home region holds the claim of this call.
	Claimed bool
	// SendBy is the latest time at which the first byte may be sent to the endpoint; zero sets no bound.
	SendBy time.Time
}

// Subject returns the subject of the residency decision.
func (r Request) Subject() residency.Subject {
	return residency.Subject{Labels: r.Labels, Service: r.Service, Model: r.Model}
}

// WithHop returns a copy of the request that has passed through one more instance.
func (r Request) WithHop(h Hop) Request {
	r.Via = append(slices.Clone(r.Via), h)
	return r
}

// Passed reports whether the request has passed through the instance.
func (r Request) Passed(instance string) bool {
	return slices.ContainsFunc(r.Via, func(h Hop) bool { return h.Instance == instance })
}

// Forwarded reports whether the request has crossed regions to reach the region.
func (r Request) Forwarded(region string) bool {
	return slices.ContainsFunc(r.Via, func(h Hop) bool { return h.Region != region })
}

// Attempt is one attempt of a model request; a resumed one continues after the text that earlier attempts have sent.
type Attempt struct {
	// Number counts the attempts of a request in an instance, from zero.
	Number int
	// Next is the position of the first piece that the attempt must send.
	Next int
	// Text is the text of all pieces before Next.
	Text string
	// Began is the service and the software version of the endpoint that sent the first piece; a resumed attempt may be
	// sent to endpoints of that origin only.
	Began origin.Origin
	// Reserve is the number of tokens that are reserved for the answer in the endpoint's cache.
	Reserve int
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Endpoint    string
}

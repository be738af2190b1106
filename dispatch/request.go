package dispatch

import (
	"slices"
	"time"

	"arbutusreel/residency"
)

// Hop is an instance that a request has passed.
type Hop struct {
	Instance string
	Region   string
}

// Request is a checked request; it is not changed after its making.
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
	// Prefixes are the hashes of the prompt's prefixes by whole blocks, the shortest first.
	Prefixes []uint64
	// Resume is where the answer begins, if an earlier attempt has sent a part of it.
	Resume Attempt
	// Claimed says that the ledger of the caller's home region holds the claim of this call.
	Claimed bool
	// SendBy is when the first byte may be sent at the latest; zero sets no bound.
	SendBy time.Time
}

// Subject returns what residency is decided for.
func (r Request) Subject() residency.Subject {
	return residency.Subject{Labels: r.Labels, Service: r.Service, Model: r.Model}
}

// WithHop returns a copy that has passed one more instance.
func (r Request) WithHop(h Hop) Request {
	r.Via = append(slices.Clone(r.Via), h)
	return r
}

// Passed reports whether the request has passed the instance.
func (r Request) Passed(instance string) bool {
	return slices.ContainsFunc(r.Via, func(h Hop) bool { return h.Instance == instance })
}

// Forwarded reports whether the request has crossed regions to reach the region.
func (r Request) Forwarded(region string) bool {
	return slices.ContainsFunc(r.Via, func(h Hop) bool { return h.Region != region })
}

// Attempt is one try of a model request; a resumed one begins after the text that earlier attempts have sent.
type Attempt struct {
	// Number counts the attempts of a request in an instance, from zero.
	Number int
	// Next is the position of the first piece that the attempt is to send.
	Next int
	// Text is the text of all pieces before Next.
	Text string
	// Reserve is the number of tokens that the answer reserves of the endpoint's cache.
	Reserve int
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Endpoint    string
}

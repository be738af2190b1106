package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Identity is what identifies a request of a service and its repeats. The request ID is not part of it, as each repeat has
// its own.
type Identity struct {
	// Service is the name of the service, and Caller identifies the caller; empty if it is not known.
	Service, Caller string
	Method, Host    string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Digest returns the identifier of the request among the parts of the service's prompts.
func (i Identity) Digest() Part {
	d := xxhash.New()
	for _, field := range []string{"request", i.Service, i.Caller, i.Method, i.Host, i.Target} {
		// The lengths keep the fields apart.
		_, _ = d.WriteString(strconv.Itoa(len(field)))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(i.Body)
	return Part(d.Sum64())
}

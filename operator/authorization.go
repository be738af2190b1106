package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"arbutusreel/decision"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Authorizer serves requests that carry the operators' token.
type Authorizer struct {
	digest   string
	maxBytes int64
}

// NewAuthorizer returns an authorizer that accepts the token with the given SHA-256 digest, in lower-case hexadecimal,
// and reads at most maxBytes of a request body. With an empty digest it refuses every request.
func NewAuthorizer(digest string, maxBytes int64) Authorizer {
	return Authorizer{digest: digest, maxBytes: maxBytes}
}

// Handle returns an HTTP handler that writes the message returned by handler as JSON, or its error as a problem.
func (a Authorizer) Handle(handler func(*http.Request) (proto.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.HandleJSON(func(r *http.Request) ([]byte, error) {
			reply, err := handler(r)
			if err != nil {
				return nil, err
			}
			return wire.EncodeJSON(reply)
		})(w, r)
	}
}

// HandleJSON is Handle for a handler that encodes its reply itself.
func (a Authorizer) HandleJSON(handler func(*http.Request) ([]byte, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := authorize(r, a.digest)
		var b []byte
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, a.maxBytes)
			b, err = handler(r)
		}
		if err != nil {
			problem.Write(w, problem.From(err), "")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	}
}

// authorize returns a *problem.Problem unless the request carries the token with the digest.
func authorize(r *http.Request, digest string) error {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(got[:])), []byte(digest)) != 1 {
		return problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the request does not bear the operators' token")
	}
	return nil
}

// DecisionsRoute is the route at which an instance serves its recorded decisions.
const DecisionsRoute = "GET /v1/decisions/{kind}/{name}"

// Decisions returns a handler for DecisionsRoute that answers with the lines recorded in store; a nil store has none.
func Decisions(store *decision.Store) func(*http.Request) (proto.Message, error) {
	return func(r *http.Request) (proto.Message, error) {
		reply := &wiregen.DecisionsReply{}
		if store != nil {
			reply.Lines = store.Lines(decision.Subject{Kind: decision.Kind(r.PathValue("kind")), Name: r.PathValue("name")})
		}
		return reply, nil
	}
}

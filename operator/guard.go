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

// Guard serves operators' requests that bear the operators' token.
type Guard struct {
	digest   string
	maxBytes int64
}

// NewGuard returns a guard for the token with the SHA-256 digest, in lower-case hexadecimal, that reads at most maxBytes
// of a body. An empty digest refuses every request.
func NewGuard(digest string, maxBytes int64) Guard {
	return Guard{digest: digest, maxBytes: maxBytes}
}

// Handle answers with the message that answer returns as JSON, or with its failure as a problem.
func (g Guard) Handle(answer func(*http.Request) (proto.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := g.answer(w, r, answer)
		if err != nil {
			problem.Write(w, problem.From(err), "")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	}
}

func (g Guard) answer(w http.ResponseWriter, r *http.Request, answer func(*http.Request) (proto.Message, error)) ([]byte, error) {
	if err := authorize(r, g.digest); err != nil {
		return nil, err
	}
	r.Body = http.MaxBytesReader(w, r.Body, g.maxBytes)
	reply, err := answer(r)
	if err != nil {
		return nil, err
	}
	return wire.EncodeJSON(reply)
}

// authorize returns a *problem.Problem unless the request bears the token with the digest.
func authorize(r *http.Request, digest string) error {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(got[:])), []byte(digest)) != 1 {
		return problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the request does not bear the operators' token")
	}
	return nil
}

// DecisionsRoute is the route at which an instance serves the decisions that it keeps.
const DecisionsRoute = "GET /v1/decisions/{kind}/{name}"

// Decisions answers DecisionsRoute with the lines that store keeps; a nil store keeps none.
func Decisions(store *decision.Store) func(*http.Request) (proto.Message, error) {
	return func(r *http.Request) (proto.Message, error) {
		reply := &wiregen.DecisionsReply{}
		if store != nil {
			reply.Lines = store.Lines(decision.Subject{Kind: decision.Kind(r.PathValue("kind")), Name: r.PathValue("name")})
		}
		return reply, nil
	}
}

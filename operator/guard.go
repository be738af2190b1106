package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"arbutusreel/problem"
)

// Authorize returns a *problem.Problem unless the request bears the token with the SHA-256 digest, in lower-case hexadecimal.
//
// An empty digest refuses every request.
func Authorize(r *http.Request, digest string) error {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(got[:])), []byte(digest)) != 1 {
		return problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the request does not bear the operators' token")
	}
	return nil
}

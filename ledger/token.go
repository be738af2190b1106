package ledger

import (
	"strconv"
	"strings"
	"time"
)

// tokenSeparator separates the epoch of a token from its time of issue.
const tokenSeparator = "."

// Token carries the epoch of the ledger and the time at which it was issued to the caller. Callers send the same token
// with the first try of a key and with every later one.
type Token struct {
	Epoch  string
	Issued time.Time
}

// String returns the text of the token: the epoch, a separator and the time of issue in Unix seconds. It returns "" if
// the token has no epoch.
func (t Token) String() string {
	if t.Epoch == "" {
		return ""
	}
	return t.Epoch + tokenSeparator + strconv.FormatInt(t.Issued.Unix(), 10)
}

// ParseToken parses the text of a token; ok is false if the text is not a token.
func ParseToken(text string) (t Token, ok bool) {
	epoch, issued, found := strings.Cut(text, tokenSeparator)
	seconds, err := strconv.ParseInt(issued, 10, 64)
	if !found || epoch == "" || err != nil {
		return Token{}, false
	}
	return Token{Epoch: epoch, Issued: time.Unix(seconds, 0)}, true
}

// Fresh reports whether the token is younger than the retention, so that no record of a key that was first tried under
// it can have expired.
func (t Token) Fresh(now time.Time, retention time.Duration) bool {
	return now.Sub(t.Issued) < retention
}

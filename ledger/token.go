package ledger

import (
	"strconv"
	"strings"
	"time"
)

// tokenSeparator stands between the epoch and the time of a token.
const tokenSeparator = "."

// Token tells callers the epoch of the ledger and when they were told; it goes with the first try of a key and all later ones.
type Token struct {
	Epoch  string
	Issued time.Time
}

// String returns the text of the token, or "" if there is no epoch.
func (t Token) String() string {
	if t.Epoch == "" {
		return ""
	}
	return t.Epoch + tokenSeparator + strconv.FormatInt(t.Issued.Unix(), 10)
}

// ParseToken returns the token of a text; ok is false if the text is none.
func ParseToken(text string) (t Token, ok bool) {
	epoch, issued, found := strings.Cut(text, tokenSeparator)
	seconds, err := strconv.ParseInt(issued, 10, 64)
	if !found || epoch == "" || err != nil {
		return Token{}, false
	}
	return Token{Epoch: epoch, Issued: time.Unix(seconds, 0)}, true
}

// Fresh reports whether records of a key that was first tried under the token cannot have been dropped by retention.
func (t Token) Fresh(now time.Time, retention time.Duration) bool {
	return now.Sub(t.Issued) < retention
}

package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
)

// answer is a whole HTTP answer; status zero says that none came.
type answer struct {
	status int
	body   string
	header http.Header
}

// problemCode returns the code and outcome of an answer that is a problem.
func (a answer) problemCode() (code, outcome string) {
	var m struct{ Code, Outcome string }
	_ = json.Unmarshal([]byte(a.body), &m)
	return m.Code, m.Outcome
}

// do sends one request to an address as the team with the token.
func (s *system) do(method, address, path, token, body string, headers ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return s.doWithin(ctx, method, address, path, token, body, headers...)
}

func (s *system) get(address, path, token string) int {
	return s.do(http.MethodGet, address, path, token, "").status
}

// epoch returns the token of the ledger that goes with a key: the one that was told before its first try.
func (s *system) epoch(address, token, key string) string {
	s.mu.Lock()
	known := s.epochs[token+key]
	s.mu.Unlock()
	if known != "" {
		return known
	}
	var m struct{ Epoch string }
	_ = json.Unmarshal([]byte(s.do(http.MethodGet, address, "/v1/entries", token, "").body), &m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochs == nil {
		s.epochs = map[string]string{}
	}
	s.epochs[token+key] = m.Epoch
	return m.Epoch
}

package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
)

// response is a complete HTTP response. Status 0 means that none was received.
type response struct {
	status int
	body   string
	header http.Header
}

// problemCode returns the code and outcome of a problem response.
func (a response) problemCode() (code, outcome string) {
	var m struct{ Code, Outcome string }
	_ = json.Unmarshal([]byte(a.body), &m)
	return m.Code, m.Outcome
}

// do sends one request to an address with the bearer token of a team.
func (s *system) do(method, address, path, token, body string, headers ...string) response {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return s.doContext(ctx, method, address, path, token, body, headers...)
}

func (s *system) get(address, path, token string) int {
	return s.do(http.MethodGet, address, path, token, "").status
}

// epoch returns the ledger epoch to send with an idempotency key: the one that the entry returned before the first
// attempt with this key.
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

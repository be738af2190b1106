package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// epochTokenLifetime is how long a ledger epoch token is used for new keys before it is fetched again.
const epochTokenLifetime = 2 * time.Second

// cachedEpoch is a ledger epoch token and the time at which it was fetched.
type cachedEpoch struct {
	token     string
	fetchedAt time.Time
}

// epochToken returns a ledger epoch token for a new key. It fetches a token from one of the entries when the cached one
// is older than epochTokenLifetime, and falls back to the cached one if the entry returns none.
func (g *generator) epochToken(ctx context.Context) string {
	g.mu.Lock()
	last := g.epoch
	g.mu.Unlock()
	if last.token != "" && time.Since(last.fetchedAt) < epochTokenLifetime {
		return last.token
	}
	token := g.fetchEpochToken(ctx, "http://"+g.entries.pick()+"/v1/entries")
	if token == "" {
		return last.token
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = cachedEpoch{token: token, fetchedAt: time.Now()}
	return token
}

func (g *generator) fetchEpochToken(ctx context.Context, url string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+g.mix.Token)
	resp, err := g.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var m struct {
		Epoch string `json:"epoch"`
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(b, &m) != nil {
		return ""
	}
	return m.Epoch
}

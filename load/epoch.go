package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// epochPeriod is how long a token of the ledger is used for new keys.
const epochPeriod = 2 * time.Second

// epoch is a token of the ledger and when it was told.
type epoch struct {
	token string
	at    time.Time
}

// token returns a token of the ledger for a new key, from one of the entries, or the last one if it gives none.
func (g *generator) token(ctx context.Context) string {
	g.mu.Lock()
	last := g.epoch
	g.mu.Unlock()
	if last.token != "" && time.Since(last.at) < epochPeriod {
		return last.token
	}
	token := g.askToken(ctx, "http://"+g.entries.take()+"/v1/entries")
	if token == "" {
		return last.token
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = epoch{token: token, at: time.Now()}
	return token
}

func (g *generator) askToken(ctx context.Context, url string) string {
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

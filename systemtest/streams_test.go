package systemtest

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"arbutusreel/completion"
	"arbutusreel/standin"
)

const (
	longPlan = `{"model":"dastarkhwan-menu","max_tokens":200,"stream":true,"messages":[{"role":"user","content":"plan the whole week for forty elders"}]}`
)

// wantPlan returns the text that an engine gives to a plan.
func wantPlan(body string) string {
	r, _ := completion.Decode(completion.Chat, []byte(body))
	return standin.Answer(r.Model, r.Prompt, r.MaxTokens)
}

// streamText returns the text of a streamed answer, and whether it has its end mark.
func streamText(body string) (string, bool) {
	var b strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == completion.Done {
			return b.String(), true
		}
		if event, err := completion.DecodeChunk([]byte(data)); err == nil {
			b.WriteString(event.Text)
		}
	}
	return b.String(), false
}

// openStream starts a streamed plan and returns its lines after the first piece was received.
func (s *system) openStream(ctx context.Context, e *instance, token, body string) (*bufio.Scanner, io.Closer) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller+chatPath, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("the stream was answered with status %d", resp.StatusCode)
	}
	return bufio.NewScanner(resp.Body), resp.Body
}

// rest returns the lines of a stream up to its end.
func rest(lines *bufio.Scanner) string {
	var b strings.Builder
	for lines.Scan() {
		b.WriteString(lines.Text() + "\n")
	}
	return b.String()
}

// counts returns what an emulated engine has done.
func (s *system) counts(e *instance) standin.Counts {
	var c standin.Counts
	_ = json.Unmarshal([]byte(s.do(http.MethodGet, e.caller, "/counts", "", "").body), &c)
	return c
}

// plans reports whether the entry answers a plan of one token.
func (s *system) plans(e *instance, token string) bool {
	body := strings.Replace(planBody, `"max_tokens":4`, `"max_tokens":1`, 1)
	return s.do(http.MethodPost, e.caller, chatPath, token, body).status == http.StatusOK
}

// TestEngineKilledInStream kills the engine of a stream; the caller receives the whole answer all the same.
func TestEngineKilledInStream(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: lunchClub})
	lahore := s.entries[0]
	first := s.engine("engine-a", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "100ms")
	s.until("a plan is answered", func() bool { return s.plans(lahore, lahoreToken) })
	lines, body := s.openStream(t.Context(), lahore, lahoreToken, longPlan)
	defer body.Close()
	second := s.engine("engine-b", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "5ms")
	s.until("the second engine is used", func() bool {
		return s.plans(lahore, lahoreToken) && s.counts(second).Requests > 0
	})
	first.kill()
	answer := rest(lines)
	if got, whole := streamText(answer); !whole || got != wantPlan(longPlan) {
		t.Errorf("whole %v, answer %q", whole, answer)
	}
	if s.counts(second).Resumed != 1 {
		t.Errorf("the second engine resumed %d answers", s.counts(second).Resumed)
	}
}

// TestForwardedStream cuts a stream that another region serves: by its caller, and by the death of the other entry.
func TestForwardedStream(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClub})
	lahore, karachi := s.entries[0], s.entries[1]
	engine := s.engine("engine-karachi", "karachi", "menu-model", "dastarkhwan-menu", "--tokenTime", "50ms")
	s.until("a plan is answered in another region", func() bool { return s.plans(lahore, lahoreToken) })

	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	lines, body := s.openStream(ctx, lahore, lahoreToken, longPlan)
	lines.Scan()
	leave()
	body.Close()
	s.until("the engine gives the request up", func() bool { return s.counts(engine).Cancelled == 1 })

	lines, body = s.openStream(t.Context(), lahore, lahoreToken, longPlan)
	defer body.Close()
	lines.Scan()
	karachi.kill()
	answer := rest(lines)
	if _, whole := streamText(answer); whole || !strings.Contains(answer, "event: error\n") {
		t.Errorf("the stream did not end with an error: %q", answer)
	}
}

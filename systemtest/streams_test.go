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
	longPlanBody = `{"model":"dastarkhwan-menu","max_tokens":200,"stream":true,"messages":[{"role":"user","content":"plan the whole week for forty elders"}]}`
)

// expectedText returns the text that an emulated engine generates for a plan.
func expectedText(body string) string {
	r, _ := completion.Decode(completion.Chat, []byte(body))
	return standin.Answer(r.Model, r.Prompt, r.MaxTokens)
}

// streamText returns the text of a streamed answer, and whether the stream ends with the [DONE] event.
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

// openStream sends a request for a streamed plan and returns a scanner over its lines once the response header has
// arrived.
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

// readRemaining returns the remaining lines of a stream.
func readRemaining(lines *bufio.Scanner) string {
	var b strings.Builder
	for lines.Scan() {
		b.WriteString(lines.Text() + "\n")
	}
	return b.String()
}

// counts returns the counters of an emulated engine.
func (s *system) counts(e *instance) standin.Counts {
	var c standin.Counts
	_ = json.Unmarshal([]byte(s.do(http.MethodGet, e.caller, "/counts", "", "").body), &c)
	return c
}

// answersPlan reports whether an entry answers a request of the class plan for one token.
func (s *system) answersPlan(e *instance, token string) bool {
	body := strings.Replace(planBody, `"max_tokens":4`, `"max_tokens":1`, 1)
	return s.do(http.MethodPost, e.caller, chatPath, token, body).status == http.StatusOK
}

// TestEngineKilledInStream kills the engine of a stream. Another engine must resume the answer, so that the caller
// receives all of it.
func TestEngineKilledInStream(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore := s.entries[0]
	first := s.engine("engine-a", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "100ms")
	s.until("a plan is answered", func() bool { return s.answersPlan(lahore, lahoreToken) })
	lines, body := s.openStream(t.Context(), lahore, lahoreToken, longPlanBody)
	defer body.Close()
	second := s.engine("engine-b", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "5ms")
	s.until("the second engine is used", func() bool {
		return s.answersPlan(lahore, lahoreToken) && s.counts(second).Requests > 0
	})
	first.kill()
	streamed := readRemaining(lines)
	if got, complete := streamText(streamed); !complete || got != expectedText(longPlanBody) {
		t.Errorf("complete: %v, answer: %q", complete, streamed)
	}
	if s.counts(second).Resumed != 1 {
		t.Errorf("the second engine resumed %d answers", s.counts(second).Resumed)
	}
}

// TestForwardedStream interrupts a stream that another region serves: once by its caller, and once by killing the entry
// of that region.
func TestForwardedStream(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore, karachi := s.entries[0], s.entries[1]
	engine := s.engine("engine-karachi", "karachi", "menu-model", "dastarkhwan-menu", "--tokenTime", "50ms")
	s.until("a plan is answered in another region", func() bool { return s.answersPlan(lahore, lahoreToken) })

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lines, body := s.openStream(ctx, lahore, lahoreToken, longPlanBody)
	lines.Scan()
	cancel()
	body.Close()
	s.until("the engine cancels the request", func() bool { return s.counts(engine).Cancelled == 1 })

	lines, body = s.openStream(t.Context(), lahore, lahoreToken, longPlanBody)
	defer body.Close()
	lines.Scan()
	karachi.kill()
	streamed := readRemaining(lines)
	if _, complete := streamText(streamed); complete || !strings.Contains(streamed, "event: error\n") {
		t.Errorf("the stream did not end with an error: %q", streamed)
	}
}

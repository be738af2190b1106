package systemtest

import (
	"net/http"
	"strings"
	"testing"

	"arbutusreel/completion"
	"arbutusreel/standin"
)

const longPlan = `{"model":"dastarkhwan-menu","max_tokens":200,"stream":true,"messages":[{"role":"user","content":"plan the whole week for forty elders"}]}`

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

// TestEngineKilledInStream kills the engine of a stream; the other engine goes on where it stopped.
func TestEngineKilledInStream(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: lunchClub})
	first := s.engine("engine-a", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "20ms", "--dieAfterTokens", "12")
	lahore := s.entries[0]
	s.until("the first engine is known", func() bool { return strings.Contains(lahore.logged(), "engine-a") || s.plans(lahore) })
	s.engine("engine-b", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "5ms")
	for range 8 {
		a := s.do(http.MethodPost, lahore.caller, chatPath, "lahore-demo-token", longPlan)
		got, whole := streamText(a.body)
		if a.status != http.StatusOK || !whole || got != wantPlan(longPlan) {
			t.Errorf("status %d, whole %v, text %q", a.status, whole, got)
		}
	}
	<-first.done
}

// plans reports whether the entry answers a plan of one token.
func (s *system) plans(e *instance) bool {
	body := strings.Replace(planBody, `"max_tokens":4`, `"max_tokens":1`, 1)
	return s.do(http.MethodPost, e.caller, chatPath, "lahore-demo-token", body).status == http.StatusOK
}

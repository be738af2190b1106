package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// memoryArgs limit the memory of an entry for requests to 4 MiB, and that of a body to 1 MiB.
var memoryArgs = []string{"--requestBytes", "4194304", "--maxBodyBytes", "1048576"}

// requestBytes returns the memory that requests in progress hold, as reported by an entry.
func (s *system) requestBytes(e *instance) int64 {
	var vars struct {
		Entry struct{ RequestBytes int64 }
	}
	_ = json.Unmarshal([]byte(s.do(http.MethodGet, e.caller, "/debug/vars", "", "").body), &vars)
	return vars.Entry.RequestBytes
}

// TestFullInstance fills an entry with waiting notices until it refuses more of them. Orders must still be answered, and
// all memory must be released after the callers of the notices have disconnected.
func TestFullInstance(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{regions: lunchClubRegions[:1], entriesPerRegion: 1, inventory: lunchClubInventory, entryArgs: memoryArgs})
	e := s.entries[0]
	s.engine("engine-a", "lahore", "menu-model", "dastarkhwan-menu", "--slots", "1", "--tokenTime", "1s")
	s.service("desk-lahore", "lahore", "club-desk")
	s.until("an order is answered", func() bool {
		return s.do(http.MethodPost, e.caller, orderPath, lahoreToken, "first", "Idempotency-Key", "first").status == http.StatusOK
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	refused := make(chan response, 1)
	text := strings.Repeat("elders ", 1<<16)
	notice := fmt.Sprintf(`{"model":"dastarkhwan-menu","max_tokens":10,"messages":[{"role":"user","content":%q}]}`, text)
	for range 16 {
		wg.Go(func() {
			a := s.doContext(ctx, http.MethodPost, e.caller, chatPath, lahoreToken, notice, "Arbutusreel-Class", "notice")
			if code, outcome := a.problemCode(); code == "instanceFull" && outcome == "notRun" && a.header.Get("Retry-After") != "" {
				select {
				case refused <- a:
				default:
				}
			}
		})
	}
	<-refused
	if bytes := s.requestBytes(e); bytes == 0 || bytes > 2<<20 {
		t.Errorf("notices hold %d bytes of 4 MiB", bytes)
	}
	if a := s.do(http.MethodPost, e.caller, orderPath, lahoreToken, "lentils", "Idempotency-Key", "k1"); a.status != http.StatusOK {
		t.Errorf("with notices waiting, an order was answered %d %s", a.status, a.body)
	}
	cancel()
	wg.Wait()
	s.until("all memory is released", func() bool { return s.requestBytes(e) == 0 })
}

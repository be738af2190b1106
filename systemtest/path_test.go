package systemtest

import (
	"net/http"
	"strings"
	"testing"
)

const (
	lunchClubInventory = "../examples/lunchclub/inventory.json"
	lahoreToken        = "lahore-demo-token"
	chatPath           = "/v1/chat/completions"
	orderPath          = "/v1/services/club-desk/orders"
	planBody           = `{"model":"dastarkhwan-menu","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"plan"}]}`
)

func TestWholePath(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi", "peshawar"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu")
	s.service("desk-lahore", "lahore", "club-desk")
	lahore := s.entries[0]
	var a response
	s.until("a plan is answered", func() bool {
		a = s.do(http.MethodPost, lahore.caller, chatPath, "lahore-demo-token", planBody)
		return a.status == http.StatusOK
	})
	if !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Errorf("the stream has no [DONE] event: %q", a.body)
	}
	s.until("an order is answered", func() bool {
		a = s.do(http.MethodPost, lahore.caller, orderPath, "lahore-demo-token", "lentils", "Idempotency-Key", "k1")
		return a.status == http.StatusOK
	})
	again := s.do(http.MethodPost, lahore.caller, orderPath, "lahore-demo-token", "lentils", "Idempotency-Key", "k1")
	if again.body != a.body {
		t.Errorf("the resent order was answered %q, first %q", again.body, a.body)
	}
}

func TestStopAndFreeze(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi", "peshawar"}, entriesPerRegion: 2, inventory: lunchClubInventory})
	s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu")
	first, second := s.entries[0], s.entries[1]
	s.until("both entries answer a plan", func() bool {
		return s.answersPlan(first, lahoreToken) && s.answersPlan(second, lahoreToken)
	})
	s.controls[0].freeze()
	first.stop()
	a := s.do(http.MethodPost, second.caller, chatPath, "lahore-demo-token", planBody)
	if a.status != http.StatusOK {
		code, outcome := a.problemCode()
		t.Errorf("the other entry answered %d, code %q, outcome %q", a.status, code, outcome)
	}
}

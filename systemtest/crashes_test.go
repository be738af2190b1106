package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/problem"
)

// running returns the number of instances whose process runs.
func running(all []*instance) int {
	alive := 0
	for _, e := range all {
		select {
		case <-e.done:
		default:
			alive++
		}
	}
	return alive
}

// TestPromptCrashedEnginesOneAfterTheOther has prompts with the same beginning end each engine that is about to answer them, seen by
// two entries: once both know, these are refused, and others with the rest of the beginning are answered.
func TestPromptCrashedEnginesOneAfterTheOther(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 2, inventory: lunchClubInventory})
	const engines, deadly = 12, "boil the water dry"
	var all []*instance
	for i := range engines {
		all = append(all, s.engine(fmt.Sprint("engine-", i), "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "2ms", "--dieAtPrompt", deadly))
	}
	beginning := strings.Repeat("the club cooks for forty elders every week and keeps their diets in mind ", 40)
	n := 0
	ask := func(text string) response {
		n++
		content := fmt.Sprintf("%s %s plan number %d %s", beginning, strings.Repeat(text+" ", 40), n, strings.Repeat(fmt.Sprint(" dish ", n), 100))
		return s.do(http.MethodPost, s.entries[n%2].caller, chatPath, lahoreToken,
			fmt.Sprintf(`{"model":"dastarkhwan-menu","max_tokens":2,"messages":[{"role":"user","content":%q}]}`, content))
	}
	s.until("plans are answered", func() bool { return ask("boil the rice").status == http.StatusOK })
	s.until("the prompt is blocked", func() bool { return strings.Contains(ask(deadly).body, string(problem.PromptBlocked)) })
	time.Sleep(2 * time.Second)
	before := running(all)
	for range 10 {
		if got := ask(deadly); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(problem.PromptBlocked)) {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		if got := ask("boil the rice"); got.status != http.StatusOK {
			t.Errorf("a sound request: status %d: %s", got.status, got.body)
		}
	}
	if n := running(all); n != before || n == 0 {
		t.Errorf("%d engines run, %d before", n, before)
	}
}

// TestOrderCrashedServicesOneAfterTheOther has one order, which comes again and again under new keys, end each endpoint that runs it: after
// three it is refused at both entries, and other orders are answered.
func TestOrderCrashedServicesOneAfterTheOther(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 2, inventory: lunchClubInventory})
	const endpoints, deadly = 8, "exit"
	var all []*instance
	for i := range endpoints {
		all = append(all, s.service(fmt.Sprint("desk-", i), "lahore", "club-desk", "--slots", "8"))
	}
	n := 0
	order := func(body string) response {
		n++
		return s.do(http.MethodPost, s.entries[n%2].caller, orderPath, lahoreToken, body, "Idempotency-Key", fmt.Sprint("key-", n), "Arbutusreel-Class", "order")
	}
	s.until("orders are answered", func() bool { return order(fmt.Sprint("lentils ", n)).status == http.StatusOK })
	s.until("the order is blocked", func() bool { return strings.Contains(order(deadly).body, string(problem.RequestBlocked)) })
	time.Sleep(2 * time.Second)
	before := running(all)
	for range 6 {
		if got := order(deadly); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(problem.RequestBlocked)) {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		if got := order(fmt.Sprint("rice ", n)); got.status != http.StatusOK {
			t.Errorf("a sound order: status %d: %s", got.status, got.body)
		}
	}
	if left := running(all); left != before || left == 0 {
		t.Errorf("%d endpoints run, %d before", left, before)
	}
}

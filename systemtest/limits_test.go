package systemtest

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusreel/limits"
)

// limitedTokens is the limit of the team in tokens a second, and limitBurst the seconds of it that may be used at once.
const (
	limitedTokens = 300
	limitBurst    = 2
)

// limitedInventory writes the example's inventory with a limit for its first team.
func limitedInventory(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(lunchClub)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(b), `"name": "lahore-club",`, `"name": "lahore-club", "tokensPerSecond": 300,`, 1)
	file := filepath.Join(t.TempDir(), "inventory.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestLimitHoldsAcrossEntries drives one team through four entries of two regions at once: together they answer at
// most its limit, and in the isolated home region at most the part of that region.
func TestLimitHoldsAcrossEntries(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 2, inventory: limitedInventory(t)})
	for _, region := range []string{"lahore", "karachi"} {
		s.engine("engine-"+region, region, "menu-model", "dastarkhwan-menu", "--slots", "64", "--tokenTime", "1ms")
	}
	for _, e := range s.entries {
		s.until(e.name+" has a part of the limit", func() bool {
			return s.do(http.MethodPost, e.caller, chatPath, lahoreToken, wholeBody).status == http.StatusOK
		})
	}
	used, refused, elapsed := s.drive(s.entries, 6*time.Second)
	t.Logf("%d tokens in %v, %d requests refused", used, elapsed, refused)
	if most := limitedTokens * (elapsed.Seconds() + limitBurst); float64(used) > most || refused == 0 || used == 0 {
		t.Errorf("%d tokens used in %v, more than %v, or %d requests refused", used, elapsed, most, refused)
	}
	for _, e := range s.entries[2:] {
		e.freeze()
	}
	used, refused, elapsed = s.drive(s.entries[:2], 6*time.Second)
	t.Logf("isolated: %d tokens in %v, %d requests refused", used, elapsed, refused)
	if most := limitedTokens * (elapsed.Seconds() + limitBurst); float64(used) > most || used == 0 {
		t.Errorf("the isolated region used %d tokens in %v, more than %v", used, elapsed, most)
	}
}

// TestLimitStopHandsOver stops the entry that owns a limit and drives the one that is left: together they stay within the
// limit. How much is used tells how soon the part was free.
func TestLimitStopHandsOver(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 2, inventory: limitedInventory(t), entryArgs: []string{"--drainNotice", "3s"}})
	s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu", "--slots", "64", "--tokenTime", "1ms")
	var members []limits.Member
	for _, e := range s.entries {
		members = append(members, limits.Member{Instance: e.name, Region: "lahore"})
		s.until(e.name+" has a part of the limit", func() bool {
			return s.do(http.MethodPost, e.caller, chatPath, lahoreToken, wholeBody).status == http.StatusOK
		})
	}
	name, _ := limits.Owner("lahore-club", "lahore", members)
	owner, heir := s.entries[0], s.entries[1]
	if heir.name == name {
		owner, heir = heir, owner
	}
	s.drive(s.entries, 2*time.Second)
	owner.signal(syscall.SIGTERM)
	used, refused, elapsed := s.drive([]*instance{heir}, 6*time.Second)
	t.Logf("%d tokens in %v after the owner's stop, %d requests refused", used, elapsed, refused)
	if most := limitedTokens * (elapsed.Seconds() + limitBurst); float64(used) > most || used == 0 {
		t.Errorf("%d tokens used in %v, more than %v", used, elapsed, most)
	}
	<-owner.done
}

const wholeBody = `{"model":"dastarkhwan-menu","max_tokens":40,"messages":[{"role":"user","content":"plan"}]}`

// drive sends requests of one team through the entries for a time and returns the tokens of the answers, and the number
// of requests that the limit refused.
func (s *system) drive(entries []*instance, d time.Duration) (tokens, refused int, elapsed time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for _, e := range entries {
		for range 4 {
			wg.Go(func() {
				for time.Since(began) < d {
					a := s.do(http.MethodPost, e.caller, chatPath, lahoreToken, wholeBody)
					code, _ := a.problemCode()
					mu.Lock()
					tokens += answerTokens(a.body)
					if code == "limitExceeded" {
						refused++
					}
					mu.Unlock()
					time.Sleep(pollPeriod)
				}
			})
		}
	}
	wg.Wait()
	return tokens, refused, time.Since(began)
}

// answerTokens returns the tokens of the prompt and of the answer.
func answerTokens(body string) int {
	var m struct {
		Usage struct {
			Total int `json:"total_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal([]byte(body), &m)
	return m.Usage.Total
}

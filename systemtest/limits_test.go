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

// limitTokensPerSecond is the rate limit of the team. limitBurstSeconds is the burst that it allows, in seconds of that
// rate.
const (
	limitTokensPerSecond = 300
	limitBurstSeconds    = 2
)

// limitedInventory writes the example inventory with a rate limit for its first team and returns the file's path.
func limitedInventory(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(lunchClubInventory)
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

// TestLimitHoldsAcrossEntries sends load of one team through four entries of two regions concurrently: together they
// must not exceed its limit, and neither must the home region while it is isolated.
func TestLimitHoldsAcrossEntries(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 2, inventory: limitedInventory(t)})
	for _, region := range []string{"lahore", "karachi"} {
		s.engine("engine-"+region, region, "menu-model", "dastarkhwan-menu", "--slots", "64", "--tokenTime", "1ms")
	}
	for _, e := range s.entries {
		s.until(e.name+" has a share of the limit", func() bool {
			return s.do(http.MethodPost, e.caller, chatPath, lahoreToken, nonStreamBody).status == http.StatusOK
		})
	}
	used, refused, elapsed := s.sendLoad(s.entries, 6*time.Second)
	t.Logf("%d tokens in %v, %d requests refused", used, elapsed, refused)
	if most := limitTokensPerSecond * (elapsed.Seconds() + limitBurstSeconds); float64(used) > most || refused == 0 || used == 0 {
		t.Errorf("%d tokens used in %v, more than %v, or %d requests refused", used, elapsed, most, refused)
	}
	for _, e := range s.entries[2:] {
		e.freeze()
	}
	used, refused, elapsed = s.sendLoad(s.entries[:2], 6*time.Second)
	t.Logf("isolated: %d tokens in %v, %d requests refused", used, elapsed, refused)
	if most := limitTokensPerSecond * (elapsed.Seconds() + limitBurstSeconds); float64(used) > most || used == 0 {
		t.Errorf("the isolated region used %d tokens in %v, more than %v", used, elapsed, most)
	}
}

// TestLimitStopHandsOver stops the entry that owns a limit and sends load through the remaining one: together they must
// stay within the limit. The logged number of tokens shows how soon the share of the stopped entry was released.
func TestLimitStopHandsOver(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 2, inventory: limitedInventory(t), entryArgs: []string{"--drainNotice", "3s"}})
	s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu", "--slots", "64", "--tokenTime", "1ms")
	var members []limits.Member
	for _, e := range s.entries {
		members = append(members, limits.Member{Instance: e.name, Region: "lahore"})
		s.until(e.name+" has a share of the limit", func() bool {
			return s.do(http.MethodPost, e.caller, chatPath, lahoreToken, nonStreamBody).status == http.StatusOK
		})
	}
	name, _ := limits.Owner("lahore-club", "lahore", members)
	owner, successor := s.entries[0], s.entries[1]
	if successor.name == name {
		owner, successor = successor, owner
	}
	s.sendLoad(s.entries, 2*time.Second)
	owner.signal(syscall.SIGTERM)
	used, refused, elapsed := s.sendLoad([]*instance{successor}, 6*time.Second)
	t.Logf("%d tokens in %v after the owner's stop, %d requests refused", used, elapsed, refused)
	if most := limitTokensPerSecond * (elapsed.Seconds() + limitBurstSeconds); float64(used) > most || used == 0 {
		t.Errorf("%d tokens used in %v, more than %v", used, elapsed, most)
	}
	<-owner.done
}

const nonStreamBody = `{"model":"dastarkhwan-menu","max_tokens":40,"messages":[{"role":"user","content":"plan"}]}`

// sendLoad sends requests of one team through the entries for the duration d. It returns the tokens of the answers, the
// number of requests that were refused with limitExceeded, and the elapsed time.
func (s *system) sendLoad(entries []*instance, d time.Duration) (tokens, refused int, elapsed time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for _, e := range entries {
		for range 4 {
			wg.Go(func() {
				for time.Since(start) < d {
					a := s.do(http.MethodPost, e.caller, chatPath, lahoreToken, nonStreamBody)
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
	return tokens, refused, time.Since(start)
}

// answerTokens returns the number of prompt and completion tokens that an answer reports.
func answerTokens(body string) int {
	var m struct {
		Usage struct {
			Total int `json:"total_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal([]byte(body), &m)
	return m.Usage.Total
}

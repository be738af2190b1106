package capacity

import (
	"testing"
	"time"
)

// TestSlowTimesRefuseForever guards against times that were learned while all was slow and refuse every request since, so that none
// corrects them.
func TestSlowTimesRefuseForever(t *testing.T) {
	budget := TimeBudget{Objective: time.Second, RouteObjective: time.Second, Remaining: 9 * time.Second}
	for name, w := range map[string]Work{"no prompt": {}, "long prompt": {PromptTokens: minPrefillTokensLearned}} {
		t.Run(name, func(t *testing.T) {
			s := NewSpeed()
			for range 100 {
				s = s.WithFirst(w.PromptTokens, 5*time.Second)
			}
			admit := func(o Outstanding) Verdict {
				all := candidates(1)
				all[0].Outstanding = o
				c, _ := Choose(all, w, s, 0, time.Second, 0)
				return c.Admit(c.Expected, budget)
			}
			begun, waiting := Outstanding{Requests: 100}, Outstanding{Requests: 100, Waiting: Backlog{1}}
			if got := admit(waiting); got != Refuse {
				t.Errorf("%v behind a request that waits, want %v", got, Refuse)
			}
			for range 100 {
				if got := admit(begun); got == Refuse {
					t.Fatal("refused while no request waits")
				}
				s = s.WithFirst(w.PromptTokens, 100*time.Millisecond)
			}
			if got := admit(waiting); got != Take {
				t.Errorf("%v after fast answers, want %v", got, Take)
			}
		})
	}
}

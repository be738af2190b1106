package crash

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSuspicionLostCrashes adds, clears and forgets in any order: what speaks against each part is what the reports hold.
func TestSuspicionLostCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		e := NewEvidence()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				e.Clear(now, Part(rapid.SampledFrom([]rune("abcdef")).Draw(t, "sound")))
			case 1:
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, Retention}).Draw(t, "passes"))
				e.Signatures(now)
			case 2:
				if e.Len() > 0 {
					e.dropOldest()
				}
			default:
				r := Report{Endpoint: Endpoint{ID: fmt.Sprint("e-", rapid.IntRange(0, i).Draw(t, "endpoint"))}}
				for _, prompt := range rapid.SliceOfN(rapid.StringMatching("[a-jXY]{1,4}"), 1, 4).Draw(t, "prompts") {
					r, _ = r.With(NewPrompt(parse(prompt)))
				}
				e.Add(now, r)
			}
			common := 0
			for part := Part('A'); part <= 'z'; part++ {
				want := 0
				for _, r := range e.Reports() {
					if r.has(part) {
						want++
					}
				}
				if want >= MinCrashes {
					common++
				}
				if got := e.Suspicion(part).Crashes; got != want {
					t.Fatalf("%d crashes under %c, not %d", got, rune(part), want)
				}
			}
			if common != e.common {
				t.Fatalf("%d common parts, not %d", e.common, common)
			}
		}
	})
}

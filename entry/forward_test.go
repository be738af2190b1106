package entry

import (
	"fmt"
	"testing"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
)

// TestTargetsDiffer checks that the first target of forwarded requests varies over all entries of a region that are not
// leaving.
func TestTargetsDiffer(t *testing.T) {
	s := newState(membership.Entry{Name: "self", Region: "lahore"}, time.Now)
	for i := range 3 {
		s.updateEntry(membership.Entry{Name: fmt.Sprint("entry-", i), Region: "karachi"})
	}
	s.updateEntry(membership.Entry{Name: "entry-leaving", Region: "karachi", Leaving: true})
	p := &peers{state: s}
	first := map[string]int{}
	for i := range 300 {
		targets := p.targets("karachi", dispatch.Request{CorrelationID: fmt.Sprint(i)})
		if len(targets) != 4 || !targets[3].Leaving {
			t.Fatalf("targets %v", targets)
		}
		first[targets[0].Name]++
	}
	for i := range 3 {
		if n := first[fmt.Sprint("entry-", i)]; n < 50 {
			t.Errorf("entry %d is the first target of %d of 300 requests", i, n)
		}
	}
}

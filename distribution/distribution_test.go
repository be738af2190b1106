package distribution

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestFollowersReachEveryRevision checks that a follower reaches the revision of its source after lost updates,
// restarts and corruption of its copy, and never goes back to a lower revision.
func TestFollowersReachEveryRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := &Versions{}, &Versions{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := follower.Revision()
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				whole := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 1, 40).Draw(t, "whole")
				source.Put(source.Revision()+rapid.SampledFrom([]int64{1, 1, 1, 4}).Draw(t, "jump"), whole)
			case 3:
				follower, before = &Versions{}, 0
			case 4:
				if follower.Revision() > 0 {
					follower = &Versions{revision: before, whole: append(slices.Clone(follower.whole), 'x')}
				}
			default:
				catchUp(t, source, follower)
			}
			if follower.Revision() < before {
				t.Fatalf("the follower went from revision %d to %d", before, follower.Revision())
			}
		}
		source.Put(source.Revision()+1, []byte("last"))
		catchUp(t, source, follower)
	})
}

// catchUp applies one update, or the whole inventory if the deltas do not fit.
func catchUp(t *rapid.T, source, follower *Versions) {
	checksum := Checksum(follower.Whole())
	if follower.Revision() == 0 {
		checksum = 0
	}
	u, ok := source.Since(follower.Revision(), checksum)
	if !ok {
		return
	}
	_, err := follower.Apply(u)
	if errors.As(err, new(*ChecksumError)) {
		if u, ok = source.Since(follower.Revision(), 0); ok {
			_, err = follower.Apply(u)
		}
	}
	if err != nil || follower.Revision() != source.Revision() || string(follower.Whole()) != string(source.Whole()) {
		t.Fatalf("the follower has revision %d of %d, %q of %q: %v", follower.Revision(), source.Revision(), follower.Whole(), source.Whole(), err)
	}
}

func TestSources(t *testing.T) {
	peers := []string{"e1", "e2", "e3", "e4", "e5"}
	voters := []string{"v1", "v2", "v3"}
	direct := 0
	for i, self := range peers {
		others := slices.Delete(slices.Clone(peers), i, i+1)
		sources := Sources("lahore", self, others, voters, []string{"x"})
		if slices.Contains(sources, self) {
			t.Errorf("%s follows itself: %v", self, sources)
		}
		if len(sources) != len(others)+len(voters)+1 {
			t.Errorf("%s does not try all addresses: %v", self, sources)
		}
		if slices.Contains(voters, sources[0]) {
			direct++
		}
	}
	if direct != relaysPerRegion {
		t.Errorf("%d entries follow the voters first", direct)
	}
}

func TestFailedSourcesOrderedLast(t *testing.T) {
	f := NewFailures()
	now := time.Unix(0, 0)
	f.Failed(now, "a")
	f.Failed(now.Add(time.Second), "b")
	for _, c := range []struct {
		after time.Duration
		want  []string
	}{
		{time.Second, []string{"c", "a", "b"}},
		{avoidPeriod, []string{"a", "c", "b"}},
		{2 * avoidPeriod, []string{"a", "b", "c"}},
	} {
		if diff := cmp.Diff(c.want, f.Order(now.Add(c.after), []string{"a", "b", "c"})); diff != "" {
			t.Errorf("after %v: %s", c.after, diff)
		}
	}
}

// TestReportsReachCollector sends the reports of a region through one stream: the collector has the revision of every
// instance, and the time that it records for a state is at most staleAfter later than the true one.
func TestReportsReachCollector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		region := map[string]Instance{}
		sender, receiver := NewSender(), NewReceiver()
		collector := NewReports()
		common := int64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(t, "millis")) * time.Millisecond)
			common += rapid.Int64Range(0, 1).Draw(t, "changes")
			for n := range 5 {
				name := fmt.Sprint("e", n)
				if rapid.IntRange(0, 3).Draw(t, "heard") > 0 {
					region[name] = Instance{Name: name, Region: "lahore", Revision: max(region[name].Revision, common-rapid.Int64Range(0, 1).Draw(t, "behind")), At: now}
				}
			}
			var all []Instance
			for _, i := range region {
				all = append(all, i)
			}
			if r, ok := sender.Next(now, common, all, time.Second); ok {
				for _, i := range receiver.Receive(now, r) {
					collector.Update(i)
				}
			}
			for _, i := range all {
				got := collector.latest[i.Name]
				if got.Revision != i.Revision {
					t.Fatalf("%s has revision %d, the collector %d", i.Name, i.Revision, got.Revision)
				}
				if late := got.At.Sub(i.At); late > staleAfter {
					t.Fatalf("%s reported at %v, the collector has a time %v later", i.Name, i.At, late)
				}
			}
		}
	})
}

func TestSteadyReportIsEmpty(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Instance{{Name: "e1", Revision: 7, At: now}, {Name: "e2", Revision: 7, At: now}}
	s := NewSender()
	s.Next(now, 7, all, time.Second)
	if _, ok := s.Next(now, 7, all, time.Second); ok {
		t.Error("a report is sent although nothing changed")
	}
	r, ok := s.Next(now.Add(time.Second), 8, []Instance{{Name: "e1", Revision: 8, At: now}, {Name: "e2", Revision: 8, At: now}}, time.Second)
	if diff := cmp.Diff(Report{Common: 8}, r); diff != "" || !ok {
		t.Errorf("the report of a common revision: %s", diff)
	}
}

func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1 << 12, 1 << 16, 1 << 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			old := make([]byte, n)
			changed := slices.Clone(old)
			changed[n/2] = 1
			for range b.N {
				if _, err := NewDelta(1, old, changed).Apply(old); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

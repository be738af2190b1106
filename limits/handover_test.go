package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxUpdateDelay bounds the time until an instance receives another one's state.
const maxUpdateDelay = 3 * time.Second

// stateUpdate is an instance's state that is sent to another one.
type stateUpdate struct {
	arrives time.Time
	to      int
	subject int
	owns    bool
}

// region is the instances of one region, which leave, crash and return, and receive each other's state late.
type region struct {
	*network
	up   []bool
	left []bool
	// knownOwners[i][j] is set if instance j may own shares, according to the last update that instance i received.
	knownOwners    [][]bool
	pendingUpdates []stateUpdate
}

func newRegion(instances int) *region {
	r := &region{network: &network{cut: map[string]bool{}}}
	for i := range instances {
		r.members = append(r.members, Member{Instance: fmt.Sprint("entry-", i), Region: "lahore"})
		r.teams = append(r.teams, New(r.members[i]))
		r.skew = append(r.skew, 1)
		r.up, r.left = append(r.up, true), append(r.left, false)
	}
	for range instances {
		view := make([]bool, instances)
		for i := range view {
			view[i] = true
		}
		r.knownOwners = append(r.knownOwners, view)
	}
	return r
}

func (r *region) observe(i int, now time.Time) {
	var members []Member
	for m, owns := range r.knownOwners[i] {
		if owns {
			members = append(members, r.members[m])
		}
	}
	r.teams[i].Observe(r.local(i, now), []Limit{{Team: "club", HomeRegion: "lahore", TokensPerSecond: limit}}, []string{"lahore"}, members)
}

// broadcast sends the state of one instance to all others; the instance itself knows it at once.
func (r *region) broadcast(now time.Time, about int, owns bool, delay func() time.Duration) {
	r.knownOwners[about][about] = owns
	for i := range r.members {
		if i != about {
			r.pendingUpdates = append(r.pendingUpdates, stateUpdate{arrives: now.Add(delay()), to: i, subject: about, owns: owns})
		}
	}
}

// receive delivers the updates that have arrived by now, in the order in which they were sent.
func (r *region) receive(now time.Time) {
	var later []stateUpdate
	for _, n := range r.pendingUpdates {
		if n.arrives.After(now) {
			later = append(later, n)
			continue
		}
		r.knownOwners[n.to][n.subject] = n.owns
	}
	r.pendingUpdates = later
}

func (r *region) leave(i int, now time.Time, delay func() time.Duration) {
	r.teams[i].Leave(r.local(i, now))
	r.left[i] = true
	r.broadcast(now, i, false, delay)
}

// stop ends a process: its accounts, the messages to it, and the answers to its asks are lost with its connections.
func (r *region) stop(i int, now time.Time, delay func() time.Duration) {
	r.up[i] = false
	if !r.left[i] {
		r.broadcast(now, i, false, delay)
	}
	r.teams[i] = New(r.members[i])
	var others []message
	for _, e := range r.sent {
		if e.to != i && (e.ask == nil || e.ask.Borrower != r.members[i].Instance) {
			others = append(others, e)
		}
	}
	r.sent = others
}

func (r *region) sum(now time.Time) (sum float64) {
	for i, teams := range r.teams {
		sum += teams.Rate(r.local(i, now), "club")
	}
	return sum
}

// TestHandover checks that the rates in use never sum to more than the limit while instances leave, crash and return,
// and messages are lost, delayed and duplicated.
func TestHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(rapid.IntRange(2, 4).Draw(t, "instances"))
		for i := range r.skew {
			r.skew[i] = rapid.Float64Range(0.99, 1.01).Draw(t, "skew")
		}
		updateDelay := func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{0, 100, 400, 1500, int(maxUpdateDelay.Milliseconds())}).Draw(t, "updateDelay")) * time.Millisecond
		}
		delay := func() []time.Duration {
			var list []time.Duration
			for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "copies") {
				list = append(list, time.Duration(rapid.SampledFrom([]int{1, 1, 50, 300, 2500, 7000, 12000}).Draw(t, "delay"))*time.Millisecond)
			}
			return list
		}
		now := start
		events := append(slices.Repeat([]string{"none"}, 12), "leave", "leave", "stop", "return", "return", "return")
		stopped := make([]time.Time, len(r.members))
		for range rapid.IntRange(40, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{500, 300, 100, 700}).Draw(t, "gap")) * time.Millisecond)
			r.receive(now)
			r.deliver(now, delay)
			for i := range r.teams {
				if r.up[i] {
					r.observe(i, now)
					r.teams[i].Spend(r.local(i, now), "club", 500)
					r.ask(i, now, delay)
				}
			}
			for range 2 {
				now = now.Add(50 * time.Millisecond)
				r.deliver(now, delay)
			}
			i := rapid.IntRange(0, len(r.teams)-1).Draw(t, "instance")
			event := rapid.SampledFrom(events).Draw(t, "event")
			switch {
			case !r.up[i]:
				if now.Sub(stopped[i]) > maxUpdateDelay && event == "return" {
					r.up[i], r.left[i] = true, false
					r.broadcast(now, i, true, updateDelay)
				}
			case event == "leave" && !r.left[i]:
				r.leave(i, now, updateDelay)
			case event == "stop":
				r.stop(i, now, updateDelay)
				stopped[i] = now
			}
			if sum := r.sum(now); sum > limit*1.0001 {
				t.Fatalf("rates sum to %v of %v", sum, limit)
			}
		}
	})
}

// TestHandoverFreesShare checks how long a region's share is unused after its owner has left: if the owner hands it
// over, if all of its answers are lost, and if it crashes.
func TestHandoverFreesShare(t *testing.T) {
	tests := []struct {
		name string
		dies bool
		lost bool
		idle time.Duration
	}{
		{"handed over", false, false, LeaseTime + 2*driftMargin + time.Second},
		{"answers lost", false, true, takeoverTime + time.Second},
		{"died", true, false, takeoverTime + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegion(3)
			owner, _ := Owner("club", "lahore", r.members)
			leaver := r.index(owner)
			now := start
			updateDelay := func() time.Duration { return 200 * time.Millisecond }
			fixedDelay := func() []time.Duration { return []time.Duration{10 * time.Millisecond} }
			step := func() {
				now = now.Add(50 * time.Millisecond)
				r.receive(now)
				if tt.lost && r.left[leaver] {
					r.sent = nil
				}
				r.deliver(now, fixedDelay)
				for i := range r.teams {
					if r.up[i] {
						r.observe(i, now)
						r.teams[i].Spend(r.local(i, now), "club", 100)
						if now.Sub(start)%(500*time.Millisecond) == 0 {
							r.ask(i, now, fixedDelay)
						}
					}
				}
			}
			for now.Before(start.Add(takeoverTime + 10*time.Second)) {
				step()
			}
			if tt.dies {
				r.stop(leaver, now, updateDelay)
			} else {
				r.leave(leaver, now, updateDelay)
			}
			left := now
			ready := false
			for !ready && now.Before(left.Add(20*time.Second)) {
				step()
				for i := range r.teams {
					ready = ready || i != leaver && r.teams[i].accounts["club"].usableOwnRate(r.local(i, now)) > 0
				}
			}
			t.Logf("the share is free %v after its owner left", now.Sub(left))
			if !ready || now.Sub(left) > tt.idle || tt.idle >= takeoverTime && now.Sub(left) < takeoverTime {
				t.Errorf("the share is free after %v, want %v at most", now.Sub(left), tt.idle)
			}
		})
	}
}

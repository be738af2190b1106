package capacity

import "time"

// Room is what the endpoints of a service in another region have left to give, as told by a gateway there.
type Room struct {
	Region string
	// Wait is the expected time to the first piece of a small request, by rank.
	Wait [Ranks]time.Duration
	// PromptTokens can be taken before the wait reaches the objective.
	PromptTokens int64
	Endpoints    int
	// Busy is the share of their time for which the endpoints read prompts.
	Busy float64
	// Age is the time since it was told, and Sent the prompt tokens that were sent there since.
	Age  time.Duration
	Sent int64
}

// maxRoomAge is the age after which what a region told is no longer believed: it is told five times a second, so that
// the way to the region is cut or slow.
const maxRoomAge = 1200 * time.Millisecond

// Current reports whether what the region told is still believed.
func (r Room) Current() bool { return r.Age <= maxRoomAge }

// Crossing is the region to which a request may go.
type Crossing struct {
	Region string
	// Expected is the time to the first piece, Late the same behind all that can be on time, and Cost the first with the
	// cost of a later end.
	Expected time.Duration
	Late     time.Duration
	Cost     time.Duration
}

// Cross returns the region that serves a request at the least cost, if that is less than here. Crossing takes detour in
// both directions together. What was sent there since it told its room is added to its load.
func Cross(rooms []Room, w Work, s Speed, detour, here time.Duration) (best Crossing, ok bool) {
	for _, r := range rooms {
		if !r.Current() || r.Endpoints == 0 || r.Sent+w.PromptTokens > r.PromptTokens {
			continue
		}
		expected := r.Wait[w.Rank] + detour + s.Token*time.Duration(w.PromptTokens+r.Sent/int64(r.Endpoints))
		cost := expected + DecodeCost(w, min(r.Busy+s.Busy(float64(r.Sent)/float64(r.Endpoints)), 1))
		if cost < here && (!ok || cost < best.Cost) {
			late := expected - r.Wait[w.Rank] + r.Wait[Ranks-1]
			best, ok = Crossing{Region: r.Region, Expected: expected, Late: late, Cost: cost}, true
		}
	}
	return best, ok
}

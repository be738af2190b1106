package capacity

import "time"

// Room is what the endpoints of a service in another region have left to give, as told by a gateway there.
type Room struct {
	Region string
	// Wait is the expected time to the first piece of a small request.
	Wait time.Duration
	// PromptTokens can be taken before the wait reaches the objective.
	PromptTokens int64
	Endpoints    int
	// Age is the time since it was told, and Sent the prompt tokens that were sent there since.
	Age  time.Duration
	Sent int64
}

// maxRoomAge is the age after which what a region told is no longer believed.
const maxRoomAge = 3 * time.Second

// Cross returns the region to which a request goes instead of waiting here, or false. Crossing takes detour in both
// directions together; a region is worth it only if the first piece is expected earlier than here.
func Cross(rooms []Room, w Work, s Speed, detour, here time.Duration) (region string, expected time.Duration, ok bool) {
	for _, r := range rooms {
		if r.Age > maxRoomAge || r.Endpoints == 0 || r.Sent+w.PromptTokens > r.PromptTokens {
			continue
		}
		there := r.Wait + detour + s.Token*time.Duration(w.PromptTokens+r.Sent/int64(r.Endpoints))
		if there < here && (!ok || there < expected) {
			region, expected, ok = r.Region, there, true
		}
	}
	return region, expected, ok
}

package capacity

import (
	"math"
	"time"
)

// RegionCapacity is the spare capacity of a service's endpoints in another region, as reported by a gateway there.
type RegionCapacity struct {
	Region string
	// Wait is the expected time to the first chunk of a small request, by rank, at the endpoint below which the share
	// ReportedQuantile of the endpoints wait.
	Wait [Ranks]time.Duration
	// PromptTokens is the number of prompt tokens that can be sent before the wait reaches the objective.
	PromptTokens int64
	Endpoints    int
	// Busy is the share of time that the endpoints spend on prefill, and Occupied the share of their slots that are taken.
	Busy     float64
	Occupied float64
	// Age is the time since the report, and Sent the prompt tokens that were sent to the region since.
	Age  time.Duration
	Sent int64
}

// averageEndpoint returns an endpoint with the given slots of which the region's share is taken, of the usual pace.
func (r RegionCapacity) averageEndpoint(slots int, busy float64) Candidate {
	return Candidate{
		Slots: slots, Outstanding: Outstanding{Requests: int(math.Round(r.Occupied * float64(slots)))}, Busy: busy,
		Decode: DecodeEstimate{Factor: 1, Count: minKnownCount},
	}
}

// ReportedQuantile is the quantile of the endpoints' waits that a region reports. The least wait would attract the
// requests of all gateways of another region until the next report.
const ReportedQuantile = 0.25

// occupiedCost is the difference in cost between a region whose slots are all taken and an idle one with equal waits.
const occupiedCost = 100 * time.Millisecond

// maxCapacityAge is the age above which a report is stale. Reports are sent five times a second, so an older one means
// that the connection to the region is cut or slow.
const maxCapacityAge = 1200 * time.Millisecond

// Fresh reports whether the report is at most maxCapacityAge old.
func (r RegionCapacity) Fresh() bool { return r.Age <= maxCapacityAge }

// RegionChoice is the region to which a request may be forwarded.
type RegionChoice struct {
	Region string
	// Expected is the expected time to the first chunk, Late the same with a rank below all requests that can be on
	// time, and Cost is Expected plus the cost of slower decoding.
	Expected time.Duration
	Late     time.Duration
	Cost     time.Duration
}

// ChooseRegion returns the region that serves a request at the least cost, if that is less than localCost; of regions with
// equal costs, one with more free slots is preferred. roundTrip is
// the round-trip time to another region. The tokens sent to a region since its report are added to its load. The pauses and
// the end of the response cost there what they would cost at an average endpoint, by the paces of the candidates of here:
// localCost contains that cost, so that without it a region forwards most of its work to a smaller one.
func ChooseRegion(capacities []RegionCapacity, w Work, s Speed, here Choice, roundTrip, localCost time.Duration) (best RegionChoice, ok bool) {
	var bestRanking time.Duration
	for _, r := range capacities {
		if !r.Fresh() || r.Endpoints == 0 || r.Sent+w.PromptTokens > r.PromptTokens {
			continue
		}
		expected := r.Wait[w.Rank] + roundTrip + s.PrefillTokenTime*time.Duration(w.PromptTokens+r.Sent/int64(r.Endpoints))
		busy := min(r.Busy+s.Busy(float64(r.Sent)/float64(r.Endpoints)), 1)
		average := r.averageEndpoint(here.slots, busy)
		if here.finish.harmful(&average, w.PromptTokens, expected) {
			continue
		}
		cost := expected + DecodeCost(w, busy, 1) + here.finish.cost(&average, w.PromptTokens, expected)
		if here.weighsParts {
			// Nothing is known of the caches there, so that all shared parts count as read again, as they do here.
			cost += time.Duration(sharedPrefixCost * float64(s.PrefillTokenTime) * float64(w.UncachedTokens(0)-w.UncachedTokens(len(w.Shared()))))
		}
		ranking := cost + time.Duration(r.Occupied*float64(occupiedCost))
		if cost < localCost && (!ok || ranking < bestRanking) {
			late := expected - r.Wait[w.Rank] + r.Wait[Ranks-1]
			bestRanking = ranking
			best, ok = RegionChoice{Region: r.Region, Expected: expected, Late: late, Cost: cost}, true
		}
	}
	return best, ok
}

package capacity

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant with which demand decays. It is long enough to count some tens of
	// requests at one gateway, and short compared with the time in which load moves between regions.
	demandTimeConstant = 2 * time.Second
	// maxOvertakingShare bounds the share of the endpoints' time that more urgent requests are assumed to need, as some
	// time is always left between their bursts.
	maxOvertakingShare = 0.9
)

// Demand is the recent demand of a gateway on a service's endpoints by rank, with exponential decay: the mean number of
// slots held, and the mean number of endpoints that its prefill keeps busy. It is an immutable value.
type Demand struct {
	slots, prefill [Ranks]float64
	at             time.Time
}

// decayTo returns the demand decayed to now.
func (d Demand) decayTo(now time.Time) Demand {
	decay := math.Exp(-float64(now.Sub(d.at)) / float64(demandTimeConstant))
	for rank := range Ranks {
		d.slots[rank] *= decay
		d.prefill[rank] *= decay
	}
	d.at = now
	return d
}

// With returns the demand including a request of the rank that is sent now with the given number of uncached tokens.
func (d Demand) With(now time.Time, rank int, w Work, uncached int64, s Speed) Demand {
	d = d.decayTo(now)
	d.slots[rank] += s.Hold(w, uncached).Seconds() / demandTimeConstant.Seconds()
	d.prefill[rank] += (s.PrefillTokenTime * time.Duration(uncached)).Seconds() / demandTimeConstant.Seconds()
	return d
}

// Overtaking is the share of the endpoints' slots and prefill time that more urgent requests take, by rank. A waiting
// request is overtaken by more urgent ones that arrive later.
type Overtaking struct {
	Slots, Prefill [Ranks]float64
}

// Overtaking returns the shares under the assumption that each of the gateways has the same demand; slots is the total
// of all endpoints.
func (d Demand) Overtaking(now time.Time, gateways, endpoints, slots int) Overtaking {
	d = d.decayTo(now)
	var o Overtaking
	var slotShare, prefillShare float64
	for rank := range Ranks {
		o.Slots[rank], o.Prefill[rank] = min(slotShare, maxOvertakingShare), min(prefillShare, maxOvertakingShare)
		if slots > 0 {
			slotShare += d.slots[rank] * float64(gateways) / float64(slots)
		}
		if endpoints > 0 {
			prefillShare += d.prefill[rank] * float64(gateways) / float64(endpoints)
		}
	}
	return o
}

// inflateWait returns the length of a wait d if the share overtaken of the time goes to more urgent requests (Cobham,
// "Priority Assignment in Waiting Line Problems", 1954).
func inflateWait(d time.Duration, overtaken float64) time.Duration {
	return time.Duration(float64(d) / (1 - overtaken))
}

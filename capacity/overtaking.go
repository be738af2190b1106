package capacity

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant with which demand is forgotten: long enough to count some tens of requests at one
	// gateway, and short against the time in which load moves from one region to another.
	demandTime = 2 * time.Second
	// mostOvertaken bounds the share of the endpoints' time that more urgent requests are taken to need, as some time is
	// always left between their bursts.
	mostOvertaken = 0.9
)

// Demand is what a gateway sent lately to a service's endpoints, by rank: the slots that it takes and the share of an
// endpoint's time for which it makes them read. It is an immutable value.
type Demand struct {
	slots, reading [Ranks]float64
	at             time.Time
}

// decayed returns the demand at a time.
func (d Demand) decayed(now time.Time) Demand {
	kept := math.Exp(-float64(now.Sub(d.at)) / float64(demandTime))
	for rank := range Ranks {
		d.slots[rank] *= kept
		d.reading[rank] *= kept
	}
	d.at = now
	return d
}

// With returns the demand with a request of a rank that is sent at a time and makes an endpoint read so many tokens.
func (d Demand) With(now time.Time, rank int, w Work, unread int64, s Speed) Demand {
	d = d.decayed(now)
	d.slots[rank] += s.Hold(w, unread).Seconds() / demandTime.Seconds()
	d.reading[rank] += (s.Token * time.Duration(unread)).Seconds() / demandTime.Seconds()
	return d
}

// Overtaking is the share of endpoints' time that more urgent requests take, by rank: what waits longer is overtaken by
// those that come later.
type Overtaking struct {
	Slots, Reading [Ranks]float64
}

// Overtaking returns the shares if each of n gateways asks for the same of the endpoints, which have so many slots in all.
func (d Demand) Overtaking(now time.Time, gateways, endpoints, slots int) Overtaking {
	d = d.decayed(now)
	var o Overtaking
	var taken, read float64
	for rank := range Ranks {
		o.Slots[rank], o.Reading[rank] = min(taken, mostOvertaken), min(read, mostOvertaken)
		if slots > 0 {
			taken += d.slots[rank] * float64(gateways) / float64(slots)
		}
		if endpoints > 0 {
			read += d.reading[rank] * float64(gateways) / float64(endpoints)
		}
	}
	return o
}

// stretched returns how long a wait becomes of whose time a share goes to others (Cobham, "Priority Assignment in
// Waiting Line Problems", 1954).
func stretched(d time.Duration, overtaken float64) time.Duration {
	return time.Duration(float64(d) / (1 - overtaken))
}

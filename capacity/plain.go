package capacity

import (
	"math"
	"time"
)

const (
	// plainTimeConstant is the time constant with which the count of a gateway's requests decays: long enough to count some
	// requests at each of 84 gateways, and short compared with the time in which load changes.
	plainTimeConstant = 2 * time.Second
	// plainNearFull is the share of the slots of plain endpoints above which requests are placed by free slots and the last ones are
	// dealt out: at 0.4 of the slots in use single endpoints of 6 slots are full at times.
	plainNearFull = 0.3
	// plainFull is the share of the places above which a rejected request is not sent to another endpoint.
	plainFull = 0.85
	// plainWaitShare is the share of the objective that a request may wait in an endpoint's queue, and plainQueueSlots bounds the
	// requests that wait there, as a multiple of its slots.
	plainWaitShare  = 1.0 / 3
	plainQueueSlots = 3
	// plainFilled is the load, as a share of the slots, that is sent when more is offered. It is above one because endpoints reject about
	// a third of it: gateways choose them by reports that are older than a request takes.
	plainFilled = 1.2
	// plainMinRoom is the room that an endpoint counts at least as, as the reports about it may be older than its requests take.
	plainMinRoom = 0.25
	// maxPlainReport is the age up to which an endpoint's own report of its load counts.
	maxPlainReport = 30 * time.Millisecond
)

// PlainDemand counts the recent requests of a gateway for a service without engines. It is an immutable value.
type PlainDemand struct {
	asked float64
	at    time.Time
	// credit is the part of a request that is left of the shares of earlier ones.
	credit float64
}

// decayed returns the count of requests decayed to now.
func (d PlainDemand) decayed(now time.Time) float64 {
	return d.asked * math.Exp(-float64(now.Sub(d.at))/float64(plainTimeConstant))
}

// Rate returns the requests per second.
func (d PlainDemand) Rate(now time.Time) float64 { return d.decayed(now) / plainTimeConstant.Seconds() }

// With returns the demand with one more request.
func (d PlainDemand) With(now time.Time) PlainDemand {
	d.asked, d.at = d.decayed(now)+1, now
	return d
}

// Deal returns whether a request may be sent if the given share of all may, and the demand after it. Of a gateway's requests
// every nth is sent, which varies less than a draw for each of them.
func (d PlainDemand) Deal(share float64) (PlainDemand, bool) {
	d.credit += share
	if d.credit < 1 {
		return d, false
	}
	d.credit = min(d.credit-1, 1)
	return d, true
}

// PlainRoom describes the plain endpoints of a service in a region.
type PlainRoom struct {
	// Slots is the number of requests that they serve at once, Places that of those they serve or let wait, and Outstanding the
	// number of those sent and not ended.
	Slots, Places, Outstanding int
	// Hold is how long a request takes.
	Hold time.Duration
	// Gateways is the number of gateways that share them.
	Gateways int
}

// Share returns the share of its requests that a gateway with a rate of requests may send: one, unless all gateways with that
// rate would fill more than plainFilled of the slots.
func (r PlainRoom) Share(rate float64) float64 {
	offered := rate * float64(r.Gateways) * r.Hold.Seconds()
	slots := float64(r.Slots)
	if float64(r.Outstanding) < plainNearFull*float64(max(r.Places, r.Slots)) || offered <= plainFilled*slots {
		return 1
	}
	return plainFilled * slots / offered
}

// NearFull reports whether the endpoints are so full that requests are placed by free slots.
func (r PlainRoom) NearFull() bool { return float64(r.Outstanding) >= plainNearFull*float64(r.Slots) }

// Full reports whether so few places are free that a request which was rejected would mostly be rejected again.
func (r PlainRoom) Full() bool {
	return float64(r.Outstanding) >= plainFull*float64(max(r.Places, r.Slots))
}

// PlainReport is an endpoint's own report of the requests that it runs or lets wait.
type PlainReport struct {
	Requests int
	At       time.Time
	// Limit is the number of requests with which the endpoint last rejected one; zero if it has rejected none.
	Limit int
}

// With returns the report after an answer with the endpoint's load. A rejection shows how many requests the endpoint takes.
func (r PlainReport) With(now time.Time, requests, slots int, rejected bool) PlainReport {
	r.Requests, r.At = requests, now
	if rejected && requests >= slots {
		r.Limit = max(requests, 1)
	}
	return r
}

// Places returns the number of requests that a plain endpoint serves or lets wait. Those that wait longer than plainWaitShare of the
// objective don't count; hold is how long a request takes.
func (r PlainReport) Places(slots int, hold, objective time.Duration) int {
	queued := plainWaitShare * float64(objective) / float64(max(hold, time.Millisecond)) * float64(slots)
	places := slots + int(min(queued, float64(plainQueueSlots*slots)))
	if r.Limit > 0 {
		places = min(places, r.Limit)
	}
	return places
}

// Room returns the free places of a plain endpoint, at least plainMinRoom. The endpoint's own report counts while it is fresh.
func (r PlainReport) Room(now time.Time, outstanding, places int) float64 {
	if age := now.Sub(r.At); age >= 0 && age <= maxPlainReport {
		outstanding = max(outstanding, min(r.Requests, places))
		if r.Requests >= places {
			return 0
		}
	}
	return max(float64(places-outstanding), plainMinRoom)
}

// ChoosePlain returns the index of an endpoint, drawn by its room, or -1 if none has any. Gateways that all chose
// the one with the most room would fill it before they learn of one another.
func ChoosePlain(rooms []float64, draw float64) int {
	sum := 0.0
	for _, room := range rooms {
		sum += room
	}
	draw *= sum
	for i, room := range rooms {
		if draw < room {
			return i
		}
		draw -= room
	}
	return -1
}

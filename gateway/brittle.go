package gateway

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

const (
	// grantedShare is the share of the free slots that is dealt out in one frame, as requests that were sent late in the frame
	// before may not be known yet.
	grantedShare = 0.8
	// riskedShare is the share of the rejections that a brittle endpoint bears which gateways risk by requests beyond their
	// grants. The rest is left for what they know too late.
	riskedShare = 0.4
	// minRiskedRate is the rate of requests beyond the grants, in requests a second, below which none is sent.
	minRiskedRate = 0.1
	// rejectedPause is how long a gateway sends nothing to a brittle endpoint that has rejected one of its requests.
	rejectedPause = time.Second
)

// brittleness is what is known of an endpoint that falls over if it has to reject more than a number of requests a second, and what
// this gateway may send to it. All gateways together send no more than the endpoint has free slots, so that none has to be rejected:
// each holds grants for a part of them, which it uses again when its requests end.
type brittleness struct {
	// rejections is the number of rejections a second that the endpoint bears, and risked limits the requests beyond the grants.
	rejections, risked endpointLimit
	// frame is the present frame, grants this gateway's grants in it, and started the number of its requests in progress that
	// were sent in it.
	frame           int64
	grants, started int
	// rejectedUntil is the end of the pause after a rejection.
	rejectedUntil time.Time
}

// grantFrame returns the unit of time in which the free slots of a brittle endpoint are dealt out among gateways. It exceeds the
// time that load reports take between so many of them, so that most of what was sent in a frame is known in the next one.
func grantFrame(holders int) time.Duration {
	switch {
	case holders <= 32:
		return 250 * time.Millisecond
	case holders <= 128:
		return 400 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// update is endpointLimit.update for the rejections that the endpoint bears.
func (b *brittleness) update(at time.Time, named bool, perSecond float64) (later, changed bool) {
	later, changed = b.rejections.update(at, named, perSecond)
	if changed {
		risked := riskedShare * b.rejections.perSecond
		b.risked = endpointLimit{named: named && risked >= minRiskedRate, perSecond: risked, keepsNone: true}
	}
	return later, changed
}

// mayStart reports whether this gateway may send a request to an endpoint with the given load at all gateways, as far as the
// endpoint is brittle. The gateway has the given rank among the holders of grants.
func (p *placer) mayStart(now time.Time, e *fleet.Endpoint, s *endpointState, requests, rank, holders int) bool {
	b := &s.brittle
	if !b.rejections.named {
		return true
	}
	if p.reach.stranded || now.Sub(p.firstDecisionAt) < coldHoldoffTime || now.Before(b.rejectedUntil) {
		return false
	}
	if frame := now.UnixNano() / int64(grantFrame(holders)); b.frame != frame {
		b.frame, b.started = frame, 0
		free := max(e.Slots-requests, 0)
		if holders > 1 {
			free = int(math.Ceil(grantedShare * float64(free)))
		}
		b.grants = capacity.Share(free, holders, rotated(rank, holders, e.ID, frame))
	}
	if b.started < b.grants {
		return true
	}
	return requests < e.Slots && b.risked.named && p.mayTake(now, e, &b.risked, rank, holders)
}

// rotated returns the position of a gateway among the holders of an endpoint's grants. It is drawn anew in each frame, so that
// grants which are fewer than the holders go round, and differs between endpoints.
func rotated(rank, holders int, endpoint string, frame int64) int {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(frame))
	return (rank + int(xxhash.Sum64String(endpoint+string(b[:]))%uint64(holders))) % holders
}

// start counts a request that is sent to the endpoint after mayStart, and returns the frame in which it was granted.
func (b *brittleness) start(now time.Time) (frame int64) {
	if !b.rejections.named {
		return 0
	}
	if b.started >= b.grants {
		b.risked.take(now)
		return 0
	}
	b.started++
	return b.frame
}

// end counts the end of a request that was granted in a frame. The endpoint may have rejected it.
func (b *brittleness) end(now time.Time, frame int64, how ending) {
	if frame != 0 && frame == b.frame {
		b.started--
	}
	if how == rejected && b.rejections.named {
		b.rejectedUntil = now.Add(rejectedPause)
	}
}

// brittleWait returns the time after which the caller of a request may return for which this gateway has no grant left.
func (p *placer) brittleWait() time.Duration {
	frame := grantFrame(max(len(p.shareHolders), 1))
	return frame/2 + time.Duration(p.rng.Float64()*float64(frame))
}

// recordBrittle is recordLimit for the rejections that the endpoint bears.
func (p *placer) recordBrittle(now time.Time, s *endpointState, id string, l Limit) (changed bool) {
	if l.Invalid != "" {
		changed, s.brittle.rejections.invalid = s.brittle.rejections.invalid != l.Invalid, l.Invalid
		return changed
	}
	if !l.Named && s.brittle.rejections.at.IsZero() {
		return false
	}
	if _, changed = s.brittle.update(now, l.Named, l.PerSecond); changed {
		p.changedLimits[id] = true
		signal(p.loadsChanged)
	}
	return changed
}

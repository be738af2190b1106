package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// minIntervalTime is the shortest time over which the events of a stream are measured as one observation, so that a
	// stream makes at most four a second.
	minIntervalTime = 250 * time.Millisecond
	// maxWriteTime is the longest time that writing an event to the caller may take for the interval to count. A caller
	// that reads slowly delays the reading of the endpoint's events.
	maxWriteTime = 20 * time.Millisecond
	// reportedPaceInterval is the shortest time between two reports of an endpoint's pace that count.
	reportedPaceInterval = 500 * time.Millisecond
)

// decodePace is what this gateway knows of an endpoint's decode pace.
type decodePace struct {
	pace capacity.DecodePace
	// reportedAt is the time of the last counted report of the endpoint itself.
	reportedAt time.Time
}

// eventIntervals measures the time between the events of one stream.
type eventIntervals struct {
	// eventTokens is the number of tokens of one event; nothing is measured if it is zero.
	eventTokens int
	// startedAt is the time of the event that began the interval, lastAt that of the last event, and events the number of
	// events since startedAt.
	startedAt, lastAt time.Time
	events            int
}

// next adds an event that arrived now, after the one before had been written to the caller at wroteAt. It returns the time
// per token at the end of an interval, and zero otherwise.
func (i *eventIntervals) next(now, wroteAt time.Time) time.Duration {
	if i.eventTokens <= 0 {
		return 0
	}
	last := i.lastAt
	i.lastAt = now
	if last.IsZero() || wroteAt.Sub(last) > maxWriteTime {
		i.startedAt, i.events = now, 0
		return 0
	}
	i.events++
	took := now.Sub(i.startedAt)
	if took < minIntervalTime {
		return 0
	}
	perToken := took / time.Duration(i.events*i.eventTokens)
	i.startedAt, i.events = now, 0
	return perToken
}

// recordEvent records an event of a stream; wroteAt is when the one before was written to the caller.
func (a *attempt) recordEvent(now, wroteAt time.Time) {
	took := a.intervals.next(now, wroteAt)
	if took == 0 {
		return
	}
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&a.endpoint)
	if s.born != a.endpoint.Born {
		return
	}
	peers := p.peers.sum(a.endpoint.ID)
	outstanding := s.outstanding.Plus(peers.outstanding)
	running := max(outstanding.Requests-int(outstanding.Waiting.All()), 1)
	if a.endpoint.Slots > 0 {
		running = min(running, a.endpoint.Slots)
	}
	speed := p.speed(a.service)
	pace := s.decode.pace.Plus(now, peers.decode).Estimate(now).Factor
	busy := min(s.prefillShare(now, speed, peers)*pace, 1)
	s.decode.pace = s.decode.pace.With(now, speed.Decode.TokenTime(running, busy), took)
	speed.Decode = speed.Decode.With(running, busy, pace, took)
	p.speeds[a.service] = speed
	p.changedEndpoints[a.endpoint.ID] = true
}

// recordReportedPace records the pace that an endpoint reports of itself.
func (p *placer) recordReportedPace(now time.Time, s *endpointState, endpoint string, l Load) {
	if !l.Known || l.Pace <= 0 || now.Sub(s.decode.reportedAt) < reportedPaceInterval {
		return
	}
	s.decode.reportedAt = now
	known := s.decode.pace.Plus(now, p.peers.sum(endpoint).decode).SlowCount
	s.decode.pace = s.decode.pace.WithReported(now, l.Pace, known)
}

// streamTargets returns what the answer to a request for a stream of a model engine has to meet.
func (j *job) streamTargets(now time.Time) capacity.Stream {
	if j.service.Engine == nil || j.route.Kind != routes.Stream {
		return capacity.Stream{}
	}
	return capacity.Stream{Gap: j.route.GapObjective, EventTokens: j.service.Engine.EventTokens, Remaining: j.deadline.Sub(now)}
}

// encodeDecodePace adds an endpoint's decode pace to its load.
func encodeDecodePace(m *wiregen.EndpointOutstanding, pace capacity.DecodePace) {
	if pace.SlowCount <= minReportedPace {
		return
	}
	m.DecodeRatios, m.DecodeSquares, m.DecodeCount = float32(pace.Ratios), float32(pace.Squares), float32(pace.Count)
	m.SlowDecodeRatios, m.SlowDecodeCount = float32(pace.SlowRatios), float32(pace.SlowCount)
}

// decodeDecodePace returns the decode pace in a reported load.
func decodeDecodePace(now time.Time, o *wiregen.EndpointOutstanding) capacity.DecodePace {
	return capacity.DecodePace{
		Ratios: float64(o.GetDecodeRatios()), Squares: float64(o.GetDecodeSquares()), Count: float64(o.GetDecodeCount()),
		SlowRatios: float64(o.GetSlowDecodeRatios()), SlowCount: float64(o.GetSlowDecodeCount()), At: now,
	}
}

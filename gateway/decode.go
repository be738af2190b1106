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
	// minIdlePace is the number of observations of the pace of an endpoint without load above which whole reports hold it.
	minIdlePace = 4.0
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
	// total is the number of all events of the stream.
	total int
}

// next adds an event that arrived now, after the one before had been written to the caller at wroteAt. It returns the time
// per token at the end of an interval, and zero otherwise.
func (i *eventIntervals) next(now, wroteAt time.Time) time.Duration {
	if i.eventTokens <= 0 {
		return 0
	}
	i.total++
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

// recordArrival records the arrival of an event of a stream; wroteAt is when the one before was written to the caller. The
// attempt is nil for a forwarded request.
func (a *attempt) recordArrival(now, wroteAt time.Time) {
	if a == nil {
		return
	}
	a.recordFirst(now)
	a.recordReceived(now)
	a.recordEvent(now, wroteAt)
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
	pace := p.constantPace(now, s, a.endpoint.ID)
	busy := min(s.prefillShare(now, &speed, peers)*pace, 1)
	s.decode.pace = s.decode.pace.With(now, speed.Decode.TokenTime(running, busy), took)
	speed.Decode = speed.Decode.With(running, busy, pace, took)
	p.speeds[a.service] = speed
	// The observation is reported with the next change of the load or the next whole report. A report of each one would
	// multiply the traffic between gateways.
}

// constantPace returns the slow part of an endpoint's pace as all gateways know it.
func (p *placer) constantPace(now time.Time, s *endpointState, endpoint string) float64 {
	return capacity.EstimateDecode(now, &s.decode.pace, &p.peers.sum(endpoint).decode).Factor
}

// expectedTokens returns the expected length of a route's answer with a hint and a bound.
func (p *placer) expectedTokens(route string, hinted, bound int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lengths[route].Expected(hinted, bound)
}

// recordLength records the length of a complete stream that one attempt served from its beginning. The attempt is nil for a
// forwarded request.
func (j *job) recordLength(a *attempt, resumed bool) {
	if a == nil || resumed || j.call.LastEvent != NoEvent || a.intervals.total == 0 {
		return
	}
	p := j.g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lengths[j.route.Name] = p.lengths[j.route.Name].With(j.call.Work.OutputTokens, int64(a.intervals.total*a.intervals.eventTokens))
}

// paces returns the estimated pace of each endpoint with a known one.
func (p *placer) paces(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]float64{}
	for id, s := range p.states {
		if e := s.decode.pace.Plus(now, p.peers.sum(id).decode).Estimate(now); e.Count >= 1 {
			known[id] = e.Factor
		}
	}
	return known
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
	eventTokens := streamEventTokens(j.route, j.service)
	if eventTokens == 0 {
		return capacity.Stream{}
	}
	budget := j.timeBudget(now)
	return capacity.Stream{
		Gap: j.route.GapObjective, EventTokens: eventTokens, First: budget.Objective, Remaining: budget.Remaining,
		Tokens: j.g.placer.expectedTokens(j.route.Name, j.call.Work.OutputTokens, j.call.MaxOutputTokens), WeighEven: j.g.cfg.Pressure,
	}
}

// streamEventTokens returns the number of tokens in an event of a model engine's stream, or zero for other answers.
func streamEventTokens(r *routes.Route, s *routes.Service) int {
	if s.Engine == nil || r.Kind != routes.Stream {
		return 0
	}
	return s.Engine.EventTokens
}

// encodeDecodePace adds an endpoint's decode pace to its load.
func encodeDecodePace(m *wiregen.EndpointOutstanding, pace capacity.DecodePace) {
	if pace.SlowCount <= minReportedPace {
		return
	}
	if pace.Count > minReportedPace {
		m.DecodeRatios, m.DecodeSquares, m.DecodeCount = float32(pace.Ratios), float32(pace.Squares), float32(pace.Count)
	}
	m.SlowDecodeRatios, m.SlowDecodeCount = float32(pace.SlowRatios), float32(pace.SlowCount)
}

// decodeDecodePace returns the decode pace in a reported load.
func decodeDecodePace(now time.Time, o *wiregen.EndpointOutstanding) capacity.DecodePace {
	return capacity.DecodePace{
		Ratios: float64(o.GetDecodeRatios()), Squares: float64(o.GetDecodeSquares()), Count: float64(o.GetDecodeCount()),
		SlowRatios: float64(o.GetSlowDecodeRatios()), SlowCount: float64(o.GetSlowDecodeCount()), At: now,
	}
}

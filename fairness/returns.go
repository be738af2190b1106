package fairness

import "time"

const (
	// returnStep and returnSteps divide the time until refused callers return; no caller waits for longer than a third of its time left.
	returnStep  = 250 * time.Millisecond
	returnSteps = 256
	// minReturnSpread is the least factor of the expected time in Retry-After; the greatest is as far above one. Callers
	// refused at one moment return spread, and on the average when it is their turn.
	minReturnSpread = 0.5
	// minRetryAfter is the least Retry-After.
	minRetryAfter = 150 * time.Millisecond
	// maxScale bounds the multiple of the own refused tokens that a region is assumed to have refused.
	maxScale = 1000
)

// returns counts the tokens of refused callers until the times given in their Retry-After.
type returns struct {
	due  [returnSteps]float64
	sum  float64
	step int64
}

// advance drops the tokens of callers whose time has come.
func (r *returns) advance(now time.Time) {
	step := now.UnixNano() / int64(returnStep)
	for ; r.step < step && r.sum > 0; r.step++ {
		slot := &r.due[r.step%returnSteps]
		r.sum -= *slot
		*slot = 0
	}
	if r.sum < minTokens {
		r.due, r.sum = [returnSteps]float64{}, 0
	}
	r.step = step
}

// add counts the tokens of a caller with the given Retry-After.
func (r *returns) add(after time.Duration, tokens float64) {
	r.due[(r.step+min(int64(after/returnStep), returnSteps-1))%returnSteps] += tokens
	r.sum += tokens
}

// Refuse records a refusal for lack of capacity, and returns when its caller may return: after the excess of the wait and the time that
// the tokens of the callers who are to return need at the rate at which the region admits tokens of the service, spread by the draw; at
// least minRetryAfter and at most a third of the time left. The tokens are those that this gateway refused, in proportion to its part of
// the load. A second refusal is final for the caller, so that it is not expected back.
func (s *State) Refuse(now time.Time, r Request, room Room) time.Duration {
	s.renew(now)
	s.returns.advance(now)
	s.refusedAt[bounded(r.Urgency)] = now
	var need float64
	total, own := s.total.Now(now), s.ownTotal.Now(now)
	if total.Admitted >= minTokens && own.Asked >= minTokens {
		need = s.returns.sum * min(max(total.Asked/own.Asked, 1), maxScale) / total.Admitted * float64(timeConstant)
	}
	spread := minReturnSpread + room.Draw*2*(1-minReturnSpread)
	after := min(max(room.Excess, 0)+time.Duration(min(need*spread, float64(room.TimeLeft))), room.TimeLeft/3)
	after = max(after, minRetryAfter)
	if !room.Returned {
		s.returns.add(after, r.Tokens)
	}
	return after
}

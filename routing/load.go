package routing

import "time"

// loadChange is the change in an endpoint's load at a request's start, first token or end.
type loadChange struct {
	at       time.Duration
	requests int
	tokens   int
}

// load estimates the load of an endpoint or region from its last report and this instance's changes since. The others
// are the other instances that send requests there.
type load struct {
	reportedAt time.Duration
	// requests and tokens are the requests at the endpoint and the prompt tokens that wait there, as reported.
	requests float64
	tokens   float64
	// changes holds this instance's changes after reportedAt in time order, starting at index first.
	changes []loadChange
	first   int
	// requestsSinceReport and tokensSinceReport are the sums of changes.
	requestsSinceReport int
	tokensSinceReport   int
	// othersChange is the expected change in the number of others' requests since the report.
	othersChange float64
}

// setReport replaces the last report by one measured at the given time; an older report is ignored.
func (l *load) setReport(at time.Duration, requests, tokens float64) {
	if at < l.reportedAt {
		return
	}
	l.reportedAt, l.requests, l.tokens = at, requests, tokens
	for l.first < len(l.changes) && l.changes[l.first].at <= at {
		l.requestsSinceReport -= l.changes[l.first].requests
		l.tokensSinceReport -= l.changes[l.first].tokens
		l.first++
	}
	n := copy(l.changes, l.changes[l.first:])
	l.changes = l.changes[:n]
	l.first = 0
}

// maxChanges bounds the number of changes kept between two reports; older ones are folded into the report.
const maxChanges = 1024

// add records a change by this instance.
func (l *load) add(now time.Duration, requests, tokens int) {
	if len(l.changes) >= maxChanges {
		oldest := l.changes[0]
		l.requests += float64(oldest.requests)
		l.tokens += float64(oldest.tokens)
		l.requestsSinceReport -= oldest.requests
		l.tokensSinceReport -= oldest.tokens
		l.changes = l.changes[:copy(l.changes, l.changes[1:])]
	}
	l.changes = append(l.changes, loadChange{at: now, requests: requests, tokens: tokens})
	l.requestsSinceReport += requests
	l.tokensSinceReport += tokens
}

// weight returns the weight of the report at its age, in (0, 1].
func (l *load) weight(now time.Duration) float64 {
	age := max(now-l.reportedAt, 0)
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}

// others returns the number of others' requests in the report; own is the current number of this instance's requests.
func (l *load) others(own int) float64 {
	return max(l.requests-float64(own-l.requestsSinceReport), 0)
}

// outstanding returns the expected number of requests at the endpoint: own, which are this instance's, and those of
// others from the report. An old report is discounted towards mean, the mean number of others' requests at a candidate,
// and the expected change since the report is added.
func (l *load) outstanding(now time.Duration, own int, mean float64) float64 {
	return float64(own) + max(mean+(l.others(own)-mean)*l.weight(now)+l.othersChange, 0)
}

// backlog returns the expected number of prompt tokens that wait for prefill.
func (l *load) backlog(now time.Duration) float64 {
	return max(l.tokens*l.weight(now)+float64(l.tokensSinceReport), 0)
}

// decodeTime returns the time in seconds to decode the tokens in one slot. rate is the slot's rate in tokens per second
// when all slots of the endpoint are busy; the slot is faster when busy, the fraction of busy slots, is below 1.
func decodeTime(tokens int, rate, busy float64) float64 {
	return float64(tokens) / rate * (1 + contentionSlowdown*min(busy, 1)) / (1 + contentionSlowdown)
}

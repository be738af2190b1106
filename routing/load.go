package routing

import "time"

// change is what a request's start, first token or end added to the work of an endpoint.
type change struct {
	at       time.Duration
	requests int
	tokens   int
}

// load estimates the work at an endpoint or region from its last report and the own changes after it.
type load struct {
	reportedAt time.Duration
	requests   float64
	tokens     float64
	// changes holds the own changes after reportedAt, in the order of time, from index first on.
	changes       []change
	first         int
	sinceRequests int
	sinceTokens   int
	// drift is what the requests of others are expected to have changed by since the report.
	drift float64
}

// report takes a report that was true at a time; an older one than the last is dropped.
func (l *load) report(at time.Duration, requests, tokens float64) {
	if at < l.reportedAt {
		return
	}
	l.reportedAt, l.requests, l.tokens = at, requests, tokens
	for l.first < len(l.changes) && l.changes[l.first].at <= at {
		l.sinceRequests -= l.changes[l.first].requests
		l.sinceTokens -= l.changes[l.first].tokens
		l.first++
	}
	n := copy(l.changes, l.changes[l.first:])
	l.changes = l.changes[:n]
	l.first = 0
}

// maxChanges bounds the changes kept between two reports.
const maxChanges = 1024

// add notes an own change.
func (l *load) add(now time.Duration, requests, tokens int) {
	if len(l.changes) >= maxChanges {
		oldest := l.changes[0]
		l.requests += float64(oldest.requests)
		l.tokens += float64(oldest.tokens)
		l.sinceRequests -= oldest.requests
		l.sinceTokens -= oldest.tokens
		l.changes = l.changes[:copy(l.changes, l.changes[1:])]
	}
	l.changes = append(l.changes, change{at: now, requests: requests, tokens: tokens})
	l.sinceRequests += requests
	l.sinceTokens += tokens
}

// weight returns how much of a report is believed at its age.
func (l *load) weight(now time.Duration) float64 {
	age := max(now-l.reportedAt, 0)
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}

// others returns the requests of others that the report held; own is the number of own requests now.
func (l *load) others(own int) float64 {
	return max(l.requests-float64(own-l.sinceRequests), 0)
}

// outstanding returns the requests expected at the endpoint: the own ones and those of others, of which mean are
// expected where nothing is known, and which have drifted since the report.
func (l *load) outstanding(now time.Duration, own int, mean float64) float64 {
	return float64(own) + max(mean+(l.others(own)-mean)*l.weight(now)+l.drift, 0)
}

// backlog returns the prompt tokens that are expected to wait for their prefill.
func (l *load) backlog(now time.Duration) float64 {
	return max(l.tokens*l.weight(now)+float64(l.sinceTokens), 0)
}

// decodeTime returns the seconds that tokens take at the rate that one of an endpoint's slots has when all are busy.
// A slot is faster while only the share busy of them is.
func decodeTime(tokens int, rate, busy float64) float64 {
	return float64(tokens) / rate * (1 + contentionShare*min(busy, 1)) / (1 + contentionShare)
}

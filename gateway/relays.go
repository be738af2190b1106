package gateway

import (
	"sync"
	"time"

	"arbutusreel/wiregen"
)

// maxRelayedReports bounds the reports that wait to be passed on; beyond it the oldest ones are dropped, and the next
// whole reports of their gateways make up for them.
const maxRelayedReports = 1024

// reportRelay collects the load reports that a gateway passes on along its links. It is safe for concurrent use.
type reportRelay struct {
	// changed receives a value when reports have been collected.
	changed chan struct{}

	mu sync.Mutex
	// row and column hold the reports to be passed on along them.
	row, column []*wiregen.OutstandingReport
}

func newReportRelay() *reportRelay { return &reportRelay{changed: make(chan struct{}, 1)} }

// signal wakes the receiver of a channel of capacity one, unless it has not received the last value yet.
func signal(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// add collects a report that arrived over a link.
func (r *reportRelay) add(link wiregen.ReportLink, m *wiregen.OutstandingReport) {
	if link == wiregen.ReportLink_column {
		return
	}
	signal(r.changed)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch link {
	case wiregen.ReportLink_domain:
		r.row, r.column = appendBounded(r.row, m), appendBounded(r.column, m)
	case wiregen.ReportLink_row:
		r.column = appendBounded(r.column, m)
	default:
	}
}

func appendBounded(waiting []*wiregen.OutstandingReport, m *wiregen.OutstandingReport) []*wiregen.OutstandingReport {
	if len(waiting) >= maxRelayedReports {
		waiting = waiting[1:]
	}
	return append(waiting, m)
}

// take returns the messages for the links, which carry the gateway's own report and the collected ones, and clears the
// latter. The message for a link is missing if there is nothing to send over it. The own report may be nil.
func (r *reportRelay) take(own *wiregen.OutstandingReport) map[wiregen.ReportLink]*wiregen.OutstandingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages := map[wiregen.ReportLink]*wiregen.OutstandingReport{}
	for link, relayed := range map[wiregen.ReportLink][]*wiregen.OutstandingReport{
		wiregen.ReportLink_row: r.row, wiregen.ReportLink_column: r.column, wiregen.ReportLink_domain: nil,
	} {
		if m := linkMessage(link, own, relayed); m != nil {
			messages[link] = m
		}
	}
	r.row, r.column = nil, nil
	return messages
}

// linkMessage returns the message for a link, or nil if it would be empty.
func linkMessage(link wiregen.ReportLink, own *wiregen.OutstandingReport, relayed []*wiregen.OutstandingReport) *wiregen.OutstandingReport {
	if own == nil {
		if len(relayed) == 0 {
			return nil
		}
		return &wiregen.OutstandingReport{Link: link, Relayed: relayed}
	}
	return &wiregen.OutstandingReport{
		Gateway: own.GetGateway(), Born: own.GetBorn(), Sequence: own.GetSequence(), Whole: own.GetWhole(), Outstanding: own.GetOutstanding(),
		Departures: own.GetDepartures(), Limits: own.GetLimits(), Brittle: own.GetBrittle(), TeamUsage: own.GetTeamUsage(),
		Link: link, Relayed: relayed,
	}
}

// receiveReports stores the reports of a message, and collects those that are new for passing on.
func receiveReports(now time.Time, p *placer, relay *reportRelay, m *wiregen.OutstandingReport) {
	if m.GetSequence() > 0 && p.updatePeer(now, m) {
		relay.add(m.GetLink(), linkMessage(m.GetLink(), m, nil))
	}
	for _, r := range m.GetRelayed() {
		if p.updatePeer(now, r) {
			relay.add(m.GetLink(), r)
		}
	}
}

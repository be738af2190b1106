package distribution

import (
	"cmp"
	"slices"
	"time"
)

// staleAfter is the time after which an instance that sends no report is named as no longer heard of.
const staleAfter = 3 * time.Second

// Instance is an instance with the revision that it had in force, and what it knew of its region, at a time.
type Instance struct {
	Name     string
	Region   string
	Revision int64
	// LedgerFatalDomain is the failure domain whose loss leaves the ledger of the region without a majority, or "".
	LedgerFatalDomain string
	At                time.Time
}

// Report is what one stream sends upward; see the schema's FollowReport.
type Report struct {
	Instances []Instance
	Common    int64
}

// Reports is the last known state of instances; it is not safe for concurrent use.
type Reports struct {
	last map[string]Instance
}

// NewReports returns an empty set.
func NewReports() *Reports { return &Reports{last: map[string]Instance{}} }

// Take notes one instance unless something newer is known of it.
func (r *Reports) Take(i Instance) {
	if !i.At.Before(r.last[i.Name].At) {
		r.last[i.Name] = i
	}
}

// All returns the instances heard of after a time, in the order of their names.
func (r *Reports) All(after time.Time) []Instance {
	var all []Instance
	for name, i := range r.last {
		if i.At.Before(after) {
			delete(r.last, name)
			continue
		}
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Sender makes the reports of one stream.
type Sender struct {
	sent map[string]sentInstance
	last int64
	at   time.Time
}

type sentInstance struct {
	revision int64
	domain   string
	stale    bool
}

// NewSender returns the sender of a new stream.
func NewSender() *Sender { return &Sender{sent: map[string]sentInstance{}} }

// Next returns the report to send now; ok is false if nothing changed and the period has not passed.
func (s *Sender) Next(now time.Time, common int64, instances []Instance, period time.Duration) (r Report, ok bool) {
	changed := common != s.last || now.Sub(s.at) >= period
	r.Common = common
	for _, i := range instances {
		stale := now.Sub(i.At) > staleAfter
		before, known := s.sent[i.Name]
		moved := !known || before.stale != stale || !stale && before.domain != i.LedgerFatalDomain || !stale && before.revision != i.Revision && i.Revision != common
		if moved || !stale && i.Revision != common {
			r.Instances = append(r.Instances, i)
		}
		changed = changed || moved || before.revision != i.Revision
		s.sent[i.Name] = sentInstance{revision: i.Revision, domain: i.LedgerFatalDomain, stale: stale}
	}
	if !changed {
		return Report{}, false
	}
	s.last, s.at = common, now
	return r, true
}

// Receiver takes the reports of one stream.
type Receiver struct {
	// named holds each instance named before and not as stale.
	named map[string]Instance
}

// NewReceiver returns the receiver of a new stream.
func NewReceiver() *Receiver { return &Receiver{named: map[string]Instance{}} }

// Take returns every instance that the report tells of; the times of the report's instances are those at which they were heard of.
func (s *Receiver) Take(now time.Time, r Report) []Instance {
	var all []Instance
	for _, i := range r.Instances {
		delete(s.named, i.Name)
		all = append(all, i)
	}
	for _, i := range s.named {
		i.Revision, i.At = r.Common, now
		all = append(all, i)
	}
	for _, i := range r.Instances {
		if now.Sub(i.At) <= staleAfter {
			s.named[i.Name] = i
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

package distribution

import (
	"cmp"
	"slices"
	"time"
)

// staleAfter is the age of the last known state of an instance after which the instance is stale; before, it is fresh.
const staleAfter = 3 * time.Second

// Instance is the state of an instance at a time: its revision in force and what it knew of its region's ledger.
type Instance struct {
	Name     string
	Region   string
	Revision int64
	// LedgerFatalDomain is the failure domain whose loss would leave the region's ledger without a quorum, or "".
	LedgerFatalDomain string
	At                time.Time
}

// Report is a report on one stream; see the schema's FollowReport. Common is the revision of all fresh instances that
// were listed earlier on the stream and are not in Instances.
type Report struct {
	Instances []Instance
	Common    int64
}

// Reports is the last known state of instances; it is not safe for concurrent use.
type Reports struct {
	latest map[string]Instance
}

// NewReports returns an empty set.
func NewReports() *Reports { return &Reports{latest: map[string]Instance{}} }

// Update records the state of one instance unless the known state is newer.
func (r *Reports) Update(i Instance) {
	if !i.At.Before(r.latest[i.Name].At) {
		r.latest[i.Name] = i
	}
}

// All returns the instances whose state is not older than the given time, ordered by name, and drops the others.
func (r *Reports) All(after time.Time) []Instance {
	var all []Instance
	for name, i := range r.latest {
		if i.At.Before(after) {
			delete(r.latest, name)
			continue
		}
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Sender builds the reports of one stream; it is not safe for concurrent use.
type Sender struct {
	sent       map[string]sentInstance
	lastCommon int64
	sentAt     time.Time
}

type sentInstance struct {
	revision          int64
	ledgerFatalDomain string
	stale             bool
}

// NewSender returns the sender of a new stream.
func NewSender() *Sender { return &Sender{sent: map[string]sentInstance{}} }

// Next returns the report to send now; ok is false if nothing changed and the period has not passed since the last one.
func (s *Sender) Next(now time.Time, common int64, instances []Instance, period time.Duration) (r Report, ok bool) {
	changed := common != s.lastCommon || now.Sub(s.sentAt) >= period
	r.Common = common
	for _, i := range instances {
		stale := now.Sub(i.At) > staleAfter
		previous, known := s.sent[i.Name]
		differs := !known || previous.stale != stale || !stale && previous.ledgerFatalDomain != i.LedgerFatalDomain || !stale && previous.revision != i.Revision && i.Revision != common
		if differs || !stale && i.Revision != common {
			r.Instances = append(r.Instances, i)
		}
		changed = changed || differs || previous.revision != i.Revision
		s.sent[i.Name] = sentInstance{revision: i.Revision, ledgerFatalDomain: i.LedgerFatalDomain, stale: stale}
	}
	if !changed {
		return Report{}, false
	}
	s.lastCommon, s.sentAt = common, now
	return r, true
}

// Receiver expands the reports of one stream; it is not safe for concurrent use.
type Receiver struct {
	// fresh holds the instances that were not stale when they were last listed.
	fresh map[string]Instance
}

// NewReceiver returns the receiver of a new stream.
func NewReceiver() *Receiver { return &Receiver{fresh: map[string]Instance{}} }

// Receive returns the state of every instance that the report covers, ordered by name: those that it lists with the
// time of their state, and the other fresh ones with the common revision at the present time.
func (s *Receiver) Receive(now time.Time, r Report) []Instance {
	var all []Instance
	for _, i := range r.Instances {
		delete(s.fresh, i.Name)
		all = append(all, i)
	}
	for _, i := range s.fresh {
		i.Revision, i.At = r.Common, now
		all = append(all, i)
	}
	for _, i := range r.Instances {
		if now.Sub(i.At) <= staleAfter {
			s.fresh[i.Name] = i
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

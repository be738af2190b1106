package calls

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/ledger"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// minCompactBytes is the size in bytes below which a journal is not compacted.
const minCompactBytes = 1 << 20

// compactGrowthFactor is the growth since the last compaction, as a ratio of sizes, at which a journal is compacted
// again.
const compactGrowthFactor = 3

// Log stores the changes of a replica; records are durable once Sync has returned.
type Log interface {
	Append(records ...[]byte) error
	Sync() error
	Compact(snapshot []byte, records ...[]byte) error
	Size() int64
}

// Replica is the ledger replica of one instance; it is safe for concurrent use.
type Replica struct {
	mu            sync.Mutex
	slot          string
	replica       *ledger.Replica
	log           Log
	compactedSize int64
	now           func() time.Time
	onLogFailure  func(error)
}

// NewReplica returns a replica that stores its changes in the log, or only in memory if the log is nil. If the log
// fails, fail is called and must not return.
func NewReplica(slot string, r *ledger.Replica, log Log, now func() time.Time, fail func(error)) *Replica {
	return &Replica{slot: slot, replica: r, log: log, now: now, onLogFailure: fail}
}

// Restore applies the records that the log held at the start; the error reports a record that cannot be decoded.
func (r *Replica) Restore(records [][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range records {
		m := &wiregen.LedgerChange{}
		if err := proto.Unmarshal(b, m); err != nil {
			return err
		}
		r.replica.Restore(r.now(), wire.DecodeLedgerChange(m))
	}
	return nil
}

// Handle processes a request and returns the reply once the changes are durable.
func (r *Replica) Handle(m ledger.Request) ledger.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.replica.Handle(r.now(), m)
	r.persist()
	return reply
}

// Status returns the status of the replica.
func (r *Replica) Status(group string) ledger.Reply {
	return r.Handle(ledger.Request{Op: ledger.OpStatus, Group: group})
}

// update applies a change to the replica and makes it durable.
func (r *Replica) update(change func(now time.Time, l *ledger.Replica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.now(), r.replica)
	r.persist()
}

// Len returns the number of records.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Len()
}

// persist makes the pending changes durable; the caller holds the lock.
func (r *Replica) persist() {
	changes := r.replica.Changes()
	if r.log == nil || len(changes) == 0 {
		return
	}
	records, err := encodeChanges(changes)
	if err == nil {
		err = r.appendRecords(records)
	}
	if err != nil {
		r.onLogFailure(err)
	}
}

// appendRecords appends the records to the journal and compacts it if it has grown enough.
func (r *Replica) appendRecords(records [][]byte) error {
	if err := r.log.Append(records...); err != nil {
		return err
	}
	if err := r.log.Sync(); err != nil {
		return err
	}
	if r.log.Size() < max(minCompactBytes, compactGrowthFactor*r.compactedSize) {
		return nil
	}
	return r.compact()
}

// compact replaces the contents of the journal by a snapshot of the replica.
func (r *Replica) compact() error {
	records, err := encodeChanges(r.replica.Snapshot())
	if err != nil {
		return err
	}
	if err := r.log.Compact(nil, records...); err != nil {
		return err
	}
	r.compactedSize = r.log.Size()
	return nil
}

func encodeChanges(changes []ledger.Change) ([][]byte, error) {
	records := make([][]byte, 0, len(changes))
	for _, c := range changes {
		b, err := proto.Marshal(wire.EncodeLedgerChange(c))
		if err != nil {
			return nil, err
		}
		records = append(records, b)
	}
	return records, nil
}

package calls

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/ledger"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// compactFloor is the size in bytes below which a journal is not compacted.
const compactFloor = 1 << 20

// compactGrowth is how many times its last compacted size a journal may reach.
const compactGrowth = 3

// Log keeps a replica's changes; records last after Sync.
type Log interface {
	Append(records ...[]byte) error
	Sync() error
	Compact(snapshot []byte, records ...[]byte) error
	Size() int64
}

// Replica is the ledger replica of one instance; it is safe for concurrent use.
type Replica struct {
	mu        sync.Mutex
	slot      string
	replica   *ledger.Replica
	log       Log
	compacted int64
	now       func() time.Time
	fail      func(error)
}

// NewReplica returns a replica that keeps its changes in the log, or in memory if the log is nil; fail is called if the log fails, and must not return.
func NewReplica(slot string, r *ledger.Replica, log Log, now func() time.Time, fail func(error)) *Replica {
	return &Replica{slot: slot, replica: r, log: log, now: now, fail: fail}
}

// Restore takes the records of the log that was there at the start; a record that is no change is returned as an error.
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

// Handle answers a request after its changes are durable.
func (r *Replica) Handle(m ledger.Request) ledger.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.replica.Handle(r.now(), m)
	r.keep()
	return reply
}

// Status returns the status of the replica.
func (r *Replica) Status(group string) ledger.Reply {
	return r.Handle(ledger.Request{Op: ledger.OpStatus, Group: group})
}

// do changes the replica and makes the changes durable.
func (r *Replica) do(change func(now time.Time, l *ledger.Replica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.now(), r.replica)
	r.keep()
}

// Len returns the number of records.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Len()
}

// keep makes the changes durable; the lock is held.
func (r *Replica) keep() {
	changes := r.replica.Changes()
	if r.log == nil || len(changes) == 0 {
		return
	}
	records, err := encodeChanges(changes)
	if err == nil {
		err = r.write(records)
	}
	if err != nil {
		r.fail(err)
	}
}

func (r *Replica) write(records [][]byte) error {
	if err := r.log.Append(records...); err != nil {
		return err
	}
	if err := r.log.Sync(); err != nil {
		return err
	}
	if r.log.Size() < max(compactFloor, compactGrowth*r.compacted) {
		return nil
	}
	return r.compact()
}

// compact replaces the journal by the replica's present memory.
func (r *Replica) compact() error {
	records, err := encodeChanges(r.replica.Snapshot())
	if err != nil {
		return err
	}
	if err := r.log.Compact(nil, records...); err != nil {
		return err
	}
	r.compacted = r.log.Size()
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

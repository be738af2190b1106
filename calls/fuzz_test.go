package calls

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/ledger"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// FuzzReplica checks that a replica accepts or refuses any stored change and any two requests without a panic, and that
// it can be restored from the snapshot of its state.
func FuzzReplica(f *testing.F) {
	now := time.Unix(1000, 0)
	call := ledger.Record{
		Key: ledger.Key{Team: "club", Key: "k"}, Digest: "d", Attempt: "a", Lease: time.Minute, ClaimedAt: now,
	}
	encode := func(m proto.Message) []byte {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	change := encode(wire.EncodeLedgerChange(ledger.Change{Put: &call}))
	for op := ledger.OpStatus; op <= ledger.OpOpen; op++ {
		request := encode(wire.EncodeLedgerRequest(now, ledger.Request{
			Op: op, Group: "a", Epoch: "epoch", Call: call, Slot: "b", Incarnation: 2, Nonce: "run",
		}))
		f.Add(change, request, request)
	}
	f.Add(encode(&wiregen.LedgerChange{}), encode(&wiregen.LedgerRequest{Group: "a", Epoch: "epoch", Op: 99}), []byte{})
	f.Fuzz(func(t *testing.T, change, first, second []byte) {
		l := ledger.NewReplica("a", "a", "run", ledger.Limits{Retention: time.Hour, MaxCalls: 10})
		l.Adopt("epoch")
		r := NewReplica("a", l, nil, func() time.Time { return now }, nil)
		if r.Restore([][]byte{change}) != nil {
			return
		}
		for _, b := range [][]byte{first, second} {
			m := &wiregen.LedgerRequest{}
			if proto.Unmarshal(b, m) != nil {
				return
			}
			reply := r.Handle(wire.DecodeLedgerRequest(now, m))
			wire.DecodeLedgerReply(now, wire.EncodeLedgerReply(now, reply))
		}
		records, err := encodeChanges(l.Snapshot())
		if err != nil {
			t.Fatalf("the snapshot of the replica cannot be encoded: %v", err)
		}
		restored := NewReplica("a", ledger.NewReplica("a", "a", "run", ledger.Limits{}), nil, time.Now, nil)
		if err := restored.Restore(records); err != nil || restored.Len() != l.Len() {
			t.Errorf("restored %d of %d calls: %v", restored.Len(), l.Len(), err)
		}
	})
}

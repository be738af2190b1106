package calls

import (
	"context"
	"slices"

	"arbutusreel/ledger"
)

// Doubtful returns the calls in doubt in the order of their keys, the slots of the replicas that refused or did not
// answer, whose calls may be missing, and the epoch of the last replica that answered.
func (x *Runner) Doubtful(ctx context.Context) (doubtful []ledger.Record, missing []string, epoch string) {
	keys := map[ledger.Key]bool{}
	for _, slot := range x.group.slots {
		calls, last, ok := x.listDoubtful(ctx, slot)
		if !ok {
			missing = append(missing, slot)
			continue
		}
		epoch = last.Epoch
		for _, call := range calls {
			keys[call.Key] = true
		}
	}
	for k := range keys {
		if verdict, call := x.readVerdict(ctx, k); verdict == ledger.InDoubt {
			doubtful = append(doubtful, call)
		}
	}
	slices.SortFunc(doubtful, func(a, b ledger.Record) int { return a.Key.Compare(b.Key) })
	return doubtful, missing, epoch
}

// listDoubtful returns the records of one replica that are in doubt, and its last reply; ok is false if it refused or
// did not answer.
func (x *Runner) listDoubtful(ctx context.Context, slot string) (calls []ledger.Record, last ledger.Reply, ok bool) {
	m := ledger.Request{Op: ledger.OpList, Group: x.group.Name(), DoubtfulOnly: true}
	for {
		reply, err := x.group.queryOne(ctx, slot, m)
		if err != nil || reply.Refusal != ledger.Accepted {
			return calls, reply, false
		}
		calls = append(calls, reply.Page...)
		if !reply.More {
			return calls, reply, true
		}
		m.After = reply.Page[len(reply.Page)-1].Key
	}
}

// readVerdict reads a key from all replicas and returns the verdict on it with the record that it is based on.
func (x *Runner) readVerdict(ctx context.Context, k ledger.Key) (ledger.Verdict, ledger.Record) {
	var replies []ledger.Reply
	for _, reply := range x.group.queryAll(ctx, ledger.Request{
		Op: ledger.OpRead, Group: x.group.Name(), Call: ledger.Record{Key: k},
	}) {
		replies = append(replies, reply)
	}
	return ledger.DeriveVerdict(x.now(), x.group.Len(), "", "", replies)
}

// Settle proposes the value as the ending of a call in doubt and returns the agreed ending, which may be one that was
// accepted earlier.
//
// The error is a *NotFoundError if the call is not known, an *InProgressError if its owner may still be running it, and
// a *NoMajorityError if no majority of the replicas agrees.
func (x *Runner) Settle(ctx context.Context, k ledger.Key, v ledger.Value) (ledger.Value, error) {
	verdict, call := x.readVerdict(ctx, k)
	switch verdict {
	case ledger.Running:
		return ledger.Value{}, &InProgressError{Key: k}
	case ledger.InDoubt, ledger.Answered:
	default:
		return ledger.Value{}, &NotFoundError{Key: k}
	}
	agreed, ok, refused := x.agreeEnding(ctx, call, v)
	switch {
	case ok:
		return agreed, nil
	case refused == ledger.RefusedLease:
		return ledger.Value{}, &InProgressError{Key: k}
	default:
		return ledger.Value{}, &NoMajorityError{Key: k}
	}
}

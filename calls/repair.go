package calls

import (
	"context"
	"slices"

	"arbutusreel/ledger"
)

// Doubtful returns the calls that may have run, in the order of their keys, with the replicas that gave no answer and the epoch.
func (x *Runner) Doubtful(ctx context.Context) (doubtful []ledger.Record, silent []string, epoch string) {
	keys := map[ledger.Key]bool{}
	for _, slot := range x.group.slots {
		calls, last, ok := x.list(ctx, slot)
		if !ok {
			silent = append(silent, slot)
			continue
		}
		epoch = last.Epoch
		for _, call := range calls {
			keys[call.Key] = true
		}
	}
	for k := range keys {
		if verdict, call := x.read(ctx, k); verdict == ledger.InDoubt {
			doubtful = append(doubtful, call)
		}
	}
	slices.SortFunc(doubtful, func(a, b ledger.Record) int { return a.Key.Compare(b.Key) })
	return doubtful, silent, epoch
}

// list returns the doubtful records of one replica.
func (x *Runner) list(ctx context.Context, slot string) (calls []ledger.Record, last ledger.Reply, ok bool) {
	m := ledger.Request{Op: ledger.OpList, Group: x.group.Name(), DoubtfulOnly: true}
	for {
		reply, err := x.group.one(ctx, slot, m)
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

// read returns what the replicas that answer know of a call.
func (x *Runner) read(ctx context.Context, k ledger.Key) (ledger.Verdict, ledger.Record) {
	var replies []ledger.Reply
	for _, reply := range x.group.all(ctx, ledger.Request{Op: ledger.OpRead, Group: x.group.Name(), Call: ledger.Record{Key: k}}) {
		replies = append(replies, reply)
	}
	return ledger.Judge(x.now(), x.group.Len(), "", "", replies)
}

// Settle agrees on the value as the ending of a doubtful call and returns the agreed ending, which may be an earlier one.
//
// A call that is not known returns *NotFoundError, one whose owner may still be
// at work *InProgressError, and one on which too few replicas agree *NoMajorityError.
func (x *Runner) Settle(ctx context.Context, k ledger.Key, v ledger.Value) (ledger.Value, error) {
	verdict, call := x.read(ctx, k)
	switch verdict {
	case ledger.Running:
		return ledger.Value{}, &InProgressError{Key: k}
	case ledger.InDoubt, ledger.Answered:
	default:
		return ledger.Value{}, &NotFoundError{Key: k}
	}
	agreed, ok, refused := x.agree(ctx, call, v)
	switch {
	case ok:
		return agreed, nil
	case refused == ledger.RefusedLease:
		return ledger.Value{}, &InProgressError{Key: k}
	default:
		return ledger.Value{}, &NoMajorityError{Key: k}
	}
}

package calls

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/ledger"
)

// Periods between two reconciliations of a replica with its group: joinPeriod until the replica is active, steadyPeriod
// afterwards.
const (
	joinPeriod   = 100 * time.Millisecond
	steadyPeriod = 2 * time.Second
)

// Reconciler keeps a replica an active member of its group: it recovers a lost memory, adopts the epoch of the
// majority or founds a new epoch. It also deletes expired records.
type Reconciler struct {
	replica *Replica
	group   *Group
	log     zerolog.Logger
}

// NewReconciler returns a reconciler for the replica.
func NewReconciler(replica *Replica, group *Group, log zerolog.Logger) *Reconciler {
	return &Reconciler{replica: replica, group: group, log: log}
}

// Run reconciles the replica with its group periodically until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.reconcile(ctx)
		r.replica.update(func(now time.Time, l *ledger.Replica) { l.Expire(now) })
		period := joinPeriod
		if r.replica.Status(r.group.name).Active {
			period = steadyPeriod
		}
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

// reconcile gets the statuses of all replicas and carries out the step that they call for.
func (r *Reconciler) reconcile(ctx context.Context) {
	statuses := r.group.queryAll(ctx, ledger.Request{Op: ledger.OpStatus, Group: r.group.name})
	for slot, status := range statuses {
		if status.Refusal == ledger.RefusedGroup {
			r.log.Error().Str("replica", slot).Str("group", r.group.name).Msg("ledger replica sets differ")
			delete(statuses, slot)
		}
	}
	plan := ledger.Next(r.replica.slot, r.group.Len(), statuses)
	switch plan.Step {
	case ledger.StepAdopt:
		r.replica.update(func(_ time.Time, l *ledger.Replica) { l.Adopt(plan.Epoch) })
		r.log.Warn().Str("epoch", plan.Epoch).Msg("ledger epoch adopted")
	case ledger.StepRecover:
		r.recoverMemory(ctx, plan)
	case ledger.StepFound:
		r.foundEpoch(ctx, statuses)
	default:
	}
}

// recoverMemory reads the records of the replicas in the plan and makes the replica active. It gives up if one of them
// refuses or does not answer.
func (r *Reconciler) recoverMemory(ctx context.Context, plan ledger.Plan) {
	var replies []ledger.Reply
	for _, slot := range plan.From {
		pages, ok := r.readPages(ctx, slot, plan)
		if !ok {
			return
		}
		replies = append(replies, pages...)
	}
	recovered := false
	r.replica.update(func(now time.Time, l *ledger.Replica) {
		recovered = l.Recover(now, plan.Epoch, plan.Incarnation, replies)
	})
	if !recovered {
		return
	}
	r.log.Warn().
		Str("epoch", plan.Epoch).
		Int64("incarnation", plan.Incarnation).
		Strs("from", plan.From).
		Int("calls", r.replica.Len()).
		Msg("ledger replica recovered")
}

// readPages reads all records of one replica; ok is false if the replica refused or did not answer.
func (r *Reconciler) readPages(ctx context.Context, slot string, plan ledger.Plan) (pages []ledger.Reply, ok bool) {
	m := ledger.Request{
		Op: ledger.OpRecover, Group: r.group.name, Epoch: plan.Epoch, Slot: r.replica.slot, Incarnation: plan.Incarnation,
	}
	for {
		reply, err := r.group.queryOne(ctx, slot, m)
		if err != nil || reply.Refusal != ledger.Accepted {
			return nil, false
		}
		pages = append(pages, reply)
		if !reply.More {
			return pages, true
		}
		m.After = reply.Page[len(reply.Page)-1].Key
	}
}

// foundEpoch proposes a new epoch to the replicas that answered, and opens it at those that accepted if they are a
// majority.
func (r *Reconciler) foundEpoch(ctx context.Context, statuses map[string]ledger.Reply) {
	epoch := rand.Text()
	var accepted []string
	withoutMemory := 0
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[slot]
		reply, err := r.group.queryOne(ctx, slot, ledger.Request{
			Op: ledger.OpFound, Group: r.group.name, Epoch: epoch, Nonce: status.Nonce,
		})
		if err == nil && reply.Refusal == ledger.Accepted {
			accepted = append(accepted, slot)
		}
		if !status.Active {
			withoutMemory++
		}
	}
	if len(accepted) < ledger.Quorum(r.group.Len()) {
		return
	}
	for _, slot := range accepted {
		_, _ = r.group.queryOne(ctx, slot, ledger.Request{
			Op: ledger.OpOpen, Group: r.group.name, Epoch: epoch, Nonce: statuses[slot].Nonce,
		})
	}
	r.log.Warn().
		Str("epoch", epoch).
		Strs("replicas", accepted).
		Int("withoutMemory", withoutMemory).
		Msg("ledger epoch founded")
}

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

// Periods at which a replica looks at its group.
const (
	joinPeriod   = 100 * time.Millisecond
	steadyPeriod = 2 * time.Second
)

// Keeper gives a replica its part in the group: it recovers a lost memory, adopts the majority's epoch or founds a new one.
type Keeper struct {
	replica *Replica
	group   *Group
	log     zerolog.Logger
}

// NewKeeper returns a keeper of the replica.
func NewKeeper(r *Replica, g *Group, log zerolog.Logger) *Keeper {
	return &Keeper{replica: r, group: g, log: log}
}

// Run keeps the replica until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.step(ctx)
		k.replica.do(func(now time.Time, l *ledger.Replica) { l.Expire(now) })
		period := joinPeriod
		if k.replica.Status(k.group.name).Active {
			period = steadyPeriod
		}
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

func (k *Keeper) step(ctx context.Context) {
	statuses := k.group.all(ctx, ledger.Request{Op: ledger.OpStatus, Group: k.group.name})
	for slot, status := range statuses {
		if status.Refusal == ledger.RefusedGroup {
			k.log.Error().Str("replica", slot).Str("group", k.group.name).Msg("ledgerGroupsDiffer")
			delete(statuses, slot)
		}
	}
	plan := ledger.Next(k.replica.slot, k.group.Len(), statuses)
	switch plan.Step {
	case ledger.StepAdopt:
		k.replica.do(func(_ time.Time, l *ledger.Replica) { l.Adopt(plan.Epoch) })
		k.log.Warn().Str("epoch", plan.Epoch).Msg("ledgerEpochAdopted")
	case ledger.StepRecover:
		k.recover(ctx, plan)
	case ledger.StepFound:
		k.found(ctx, statuses)
	default:
	}
}

// recover reads the records of the replicas of the plan and makes the replica active.
func (k *Keeper) recover(ctx context.Context, plan ledger.Plan) {
	var replies []ledger.Reply
	for _, slot := range plan.From {
		pages, ok := k.pages(ctx, slot, plan)
		if !ok {
			return
		}
		replies = append(replies, pages...)
	}
	recovered := false
	k.replica.do(func(now time.Time, l *ledger.Replica) {
		recovered = l.Recover(now, plan.Epoch, plan.Incarnation, replies)
	})
	if !recovered {
		return
	}
	k.log.Warn().Str("epoch", plan.Epoch).Int64("incarnation", plan.Incarnation).Strs("from", plan.From).Int("calls", k.replica.Len()).Msg("ledgerRecovered")
}

// pages reads all records of one replica; ok is false if it refused or gave no answer.
func (k *Keeper) pages(ctx context.Context, slot string, plan ledger.Plan) (pages []ledger.Reply, ok bool) {
	m := ledger.Request{Op: ledger.OpRecover, Group: k.group.name, Epoch: plan.Epoch, Slot: k.replica.slot, Incarnation: plan.Incarnation}
	for {
		reply, err := k.group.one(ctx, slot, m)
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

// found proposes a new epoch to the replicas that answered, and opens it if a majority holds it.
func (k *Keeper) found(ctx context.Context, statuses map[string]ledger.Reply) {
	epoch := rand.Text()
	var held []string
	lost := 0
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[slot]
		reply, err := k.group.one(ctx, slot, ledger.Request{Op: ledger.OpFound, Group: k.group.name, Epoch: epoch, Nonce: status.Nonce})
		if err == nil && reply.Refusal == ledger.Accepted {
			held = append(held, slot)
		}
		if !status.Active {
			lost++
		}
	}
	if len(held) < ledger.Quorum(k.group.Len()) {
		return
	}
	for _, slot := range held {
		_, _ = k.group.one(ctx, slot, ledger.Request{Op: ledger.OpOpen, Group: k.group.name, Epoch: epoch, Nonce: statuses[slot].Nonce})
	}
	k.log.Warn().Str("epoch", epoch).Strs("replicas", held).Int("withoutMemory", lost).Msg("ledgerEpochFounded")
}

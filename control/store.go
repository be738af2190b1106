package control

import (
	"context"
	"time"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/inventory"
)

// Current is the inventory in force at this voter; Changed is closed when a newer one is in force.
type Current struct {
	Inventory *inventory.Inventory
	Revision  int64
	Changed   <-chan struct{}
}

// Store holds the accepted configuration.
type Store interface {
	Leadership
	// Propose proposes a change and waits for the decision. Failures are of type *problem.Problem.
	Propose(ctx context.Context, c configuration.Change) (configuration.Answer, error)
	// RecordedAnswer returns the recorded answer to a change id, if there is one. Failures are of type
	// *problem.Problem.
	RecordedAnswer(ctx context.Context, changeID string) (answer configuration.Answer, ok bool, err error)
	// Confirm returns once Current includes every change accepted before the call. Failures are of type
	// *problem.Problem.
	Confirm(ctx context.Context) error
	// Current returns the inventory in force at this voter, which may be behind the leader's.
	Current() Current
	// History returns the newest accepted changes and the encoded inventory in force. Failures are of type
	// *problem.Problem.
	History(ctx context.Context) (*configuration.History, []byte, error)
	// Status returns this voter's view of the quorum.
	Status() consensus.Status
	// Add and Remove change the members of the quorum. Failures are of type *problem.Problem.
	Add(ctx context.Context, id consensus.ID, address string) error
	Remove(ctx context.Context, id consensus.ID) error
	// AcceptedAt returns when this voter learned that a revision, or the lowest higher one that it retains, was
	// accepted; ok is false if none was.
	AcceptedAt(revision int64) (at time.Time, ok bool)
}

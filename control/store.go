package control

import (
	"context"
	"time"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/inventory"
)

// Current is the inventory in force at this voter; Changed is closed when a newer one is.
type Current struct {
	Inventory *inventory.Inventory
	Revision  int64
	Changed   <-chan struct{}
}

// Store holds the accepted configuration.
type Store interface {
	Leadership
	// Propose decides a change; a failure is a *problem.Problem.
	Propose(ctx context.Context, c configuration.Change) (configuration.Answer, error)
	// Answered returns the answer that was given to a change id, if one was; a failure is a *problem.Problem.
	Answered(ctx context.Context, changeID string) (answer configuration.Answer, ok bool, err error)
	// Confirm returns once Current holds every change accepted before the call; a failure is a *problem.Problem.
	Confirm(ctx context.Context) error
	// Current returns the inventory in force at this voter, which may be behind.
	Current() Current
	// History returns the newest accepted changes and the encoded inventory in force with them; a failure is a *problem.Problem.
	History(ctx context.Context) (*configuration.History, []byte, error)
	// Status returns what this voter knows of the quorum.
	Status() consensus.Status
	// Add and Remove change the quorum's members; a failure is a *problem.Problem.
	Add(ctx context.Context, id consensus.ID, address string) error
	Remove(ctx context.Context, id consensus.ID) error
	// AcceptedAt returns when this voter learned that a revision, or the lowest
	// higher one that it remembers, was accepted; ok is false if none was.
	AcceptedAt(revision int64) (at time.Time, ok bool)
}

package configuration

import (
	"slices"
	"time"

	"arbutusreel/inventory"
)

// maxAnswers is the number of change ids whose answers are kept.
const maxAnswers = 50_000

// Change replaces the inventory if Expected is the revision in force.
type Change struct {
	ID        string
	Expected  int64
	Inventory *inventory.Inventory
	// Operator is who made the change, as told by themselves; At is the leader's time. They play no part in the decision.
	Operator string
	At       time.Time
}

// Answer is the result of a change; if it was not accepted, Revision is the one in force.
type Answer struct {
	Accepted bool
	Revision int64
}

// KnownAnswer is the answer that was given to a change id.
type KnownAnswer struct {
	ID     string
	Answer Answer
}

// State is the inventory in force with its revision and the answers given.
type State struct {
	revision  int64
	inventory *inventory.Inventory
	answers   map[string]Answer
	// order holds the change ids, of which the first ones are forgotten.
	order     []string
	forgotten int
}

// NewState returns the state before the first change: revision zero and no inventory.
func NewState() *State {
	return &State{answers: map[string]Answer{}}
}

// RestoreState returns the state with a revision, its inventory, and the answers in the order in which they were given.
func RestoreState(revision int64, inv *inventory.Inventory, answers []KnownAnswer) *State {
	s := NewState()
	s.revision = revision
	s.inventory = inv
	for _, known := range answers {
		s.remember(known.ID, known.Answer)
	}
	return s
}

// Answers returns the answers that are kept, the oldest first.
func (s *State) Answers() []KnownAnswer {
	answers := make([]KnownAnswer, 0, len(s.order)-s.forgotten)
	for _, id := range s.order[s.forgotten:] {
		answers = append(answers, KnownAnswer{ID: id, Answer: s.answers[id]})
	}
	return answers
}

// Revision returns the revision in force; zero if no inventory was accepted yet.
func (s *State) Revision() int64 { return s.revision }

// Inventory returns the inventory in force, or nil at revision zero.
func (s *State) Inventory() *inventory.Inventory { return s.inventory }

// Answer returns the answer to a change id if it is kept.
func (s *State) Answer(id string) (Answer, bool) {
	answer, ok := s.answers[id]
	return answer, ok
}

// Apply decides a change and returns its answer; a change id seen before returns its first answer.
func (s *State) Apply(c Change) Answer {
	if answer, ok := s.answers[c.ID]; ok {
		return answer
	}
	if c.Expected == s.revision {
		s.revision++
		s.inventory = c.Inventory
		return s.remember(c.ID, Answer{Accepted: true, Revision: s.revision})
	}
	return s.remember(c.ID, Answer{Revision: s.revision})
}

// remember keeps an answer and forgets the oldest beyond maxAnswers.
func (s *State) remember(id string, answer Answer) Answer {
	s.answers[id] = answer
	s.order = append(s.order, id)
	if len(s.order)-s.forgotten > maxAnswers {
		delete(s.answers, s.order[s.forgotten])
		s.forgotten++
	}
	if s.forgotten > maxAnswers {
		s.order = slices.Clone(s.order[s.forgotten:])
		s.forgotten = 0
	}
	return answer
}

package configuration

import (
	"slices"
	"time"

	"arbutusreel/inventory"
)

// maxAnswers is the number of change IDs whose answers are kept.
const maxAnswers = 50_000

// Change is a request to replace the inventory if Expected is the revision in force.
type Change struct {
	ID        string
	Expected  int64
	Inventory *inventory.Inventory
	// Operator is the self-reported name of the operator who made the change; At is the time on the leader's clock.
	// Neither affects whether the change is accepted.
	Operator string
	At       time.Time
}

// Answer is the result of a change; if it was not accepted, Revision is the one in force.
type Answer struct {
	Accepted bool
	Revision int64
}

// KnownAnswer is the answer that was given to a change ID.
type KnownAnswer struct {
	ID     string
	Answer Answer
}

// State is the inventory in force, its revision, and the newest answers.
type State struct {
	revision  int64
	inventory *inventory.Inventory
	answers   map[string]Answer
	// answerOrder holds the change IDs, oldest first; evicted is the number of IDs at its start whose answers have been
	// evicted.
	answerOrder []string
	evicted     int
}

// NewState returns the state before the first change: revision zero and no inventory.
func NewState() *State {
	return &State{answers: map[string]Answer{}}
}

// RestoreState returns the state with a revision, its inventory, and the answers, oldest first.
func RestoreState(revision int64, inv *inventory.Inventory, answers []KnownAnswer) *State {
	s := NewState()
	s.revision = revision
	s.inventory = inv
	for _, known := range answers {
		s.recordAnswer(known.ID, known.Answer)
	}
	return s
}

// Answers returns the answers that are kept, oldest first.
func (s *State) Answers() []KnownAnswer {
	answers := make([]KnownAnswer, 0, len(s.answerOrder)-s.evicted)
	for _, id := range s.answerOrder[s.evicted:] {
		answers = append(answers, KnownAnswer{ID: id, Answer: s.answers[id]})
	}
	return answers
}

// Revision returns the revision in force, or zero if no inventory has been accepted yet.
func (s *State) Revision() int64 { return s.revision }

// Inventory returns the inventory in force, or nil at revision zero.
func (s *State) Inventory() *inventory.Inventory { return s.inventory }

// Answer returns the answer to a change ID, and whether it is kept.
func (s *State) Answer(id string) (Answer, bool) {
	answer, ok := s.answers[id]
	return answer, ok
}

// Apply accepts or rejects a change and returns its answer; a change ID whose answer is kept returns that answer.
func (s *State) Apply(c Change) Answer {
	if answer, ok := s.answers[c.ID]; ok {
		return answer
	}
	if c.Expected == s.revision {
		s.revision++
		s.inventory = c.Inventory
		return s.recordAnswer(c.ID, Answer{Accepted: true, Revision: s.revision})
	}
	return s.recordAnswer(c.ID, Answer{Revision: s.revision})
}

// recordAnswer stores an answer and evicts the oldest one beyond maxAnswers.
func (s *State) recordAnswer(id string, answer Answer) Answer {
	s.answers[id] = answer
	s.answerOrder = append(s.answerOrder, id)
	if len(s.answerOrder)-s.evicted > maxAnswers {
		delete(s.answers, s.answerOrder[s.evicted])
		s.evicted++
	}
	if s.evicted > maxAnswers {
		s.answerOrder = slices.Clone(s.answerOrder[s.evicted:])
		s.evicted = 0
	}
	return answer
}

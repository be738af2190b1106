package consensus

import (
	"encoding/json"
	"fmt"
	"time"
)

// op is a client's operation on the register: a compare-and-set or a read.
type op struct {
	ID       int
	Expected int64
	read     bool
	invoked  time.Duration
	returned time.Duration
	answered bool
	answer   casAnswer
}

// casAnswer is the revision in force after an operation.
type casAnswer struct {
	Accepted bool
	Revision int64
}

// register is the replicated state machine of the tests: a revision, and the answer to each operation.
type register struct {
	Revision int64
	Answers  map[int]casAnswer
}

func (r *register) apply(data []byte) (int, casAnswer) {
	var o op
	if err := json.Unmarshal(data, &o); err != nil {
		panic(err)
	}
	if a, ok := r.Answers[o.ID]; ok {
		return o.ID, a
	}
	a := casAnswer{Accepted: o.Expected == r.Revision, Revision: r.Revision}
	if a.Accepted {
		r.Revision++
		a.Revision = r.Revision
	}
	r.Answers[o.ID] = a
	return o.ID, a
}

// linearizable checks a history of compare-and-set operations and reads by
// their revisions: each revision is created once, and an operation that was
// invoked after another had returned must neither observe a lower revision nor
// create the same one.
func linearizable(ops []*op) error {
	made := map[int64]*op{}
	var answered []*op
	for _, o := range ops {
		if !o.answered {
			continue
		}
		answered = append(answered, o)
		if !o.answer.Accepted {
			continue
		}
		if other := made[o.answer.Revision]; other != nil {
			return fmt.Errorf("operations %d and %d both created revision %d", o.ID, other.ID, o.answer.Revision)
		}
		made[o.answer.Revision] = o
	}
	for _, a := range answered {
		for _, b := range answered {
			if a.returned >= b.invoked {
				continue
			}
			if b.answer.Revision < a.answer.Revision || b.answer.Accepted && b.answer.Revision == a.answer.Revision {
				return fmt.Errorf("operation %d observed revision %d after operation %d had returned revision %d", b.ID, b.answer.Revision, a.ID, a.answer.Revision)
			}
		}
	}
	return nil
}

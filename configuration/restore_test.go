package configuration

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestRestoredStateGivesSameAnswers applies the same changes to a state and to a copy restored from snapshots of it,
// and compares their answers.
func TestRestoredStateGivesSameAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		copied := NewState()
		for range rapid.IntRange(1, 100).Draw(t, "changes") {
			c := Change{
				ID:       strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "id")),
				Expected: s.Revision() - rapid.Int64Range(0, 1).Draw(t, "behind"),
			}
			if diff := cmp.Diff(s.Apply(c), copied.Apply(c)); diff != "" {
				t.Fatal(diff)
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				copied = RestoreState(s.Revision(), s.Inventory(), s.Answers())
			}
		}
	})
}

func TestAnswersAreBounded(t *testing.T) {
	s := NewState()
	for i := range 3 * maxAnswers {
		s.Apply(Change{ID: strconv.Itoa(i), Expected: s.Revision()})
	}
	answers := s.Answers()
	if len(answers) != maxAnswers || len(s.answers) != maxAnswers || len(s.answerOrder) > 2*maxAnswers+1 {
		t.Errorf("%d answers, %d by id, %d in order", len(answers), len(s.answers), len(s.answerOrder))
	}
	if last := answers[len(answers)-1]; last.ID != strconv.Itoa(3*maxAnswers-1) {
		t.Errorf("the newest answer is that of %s", last.ID)
	}
}

package configuration

import (
	"slices"
	"time"

	"arbutusreel/distribution"
)

// Limits of a history: the number of records, and the total size of the Middle fields of their Undo deltas in bytes.
const (
	maxRecords   = 500
	maxUndoBytes = 1 << 20
)

// Record is one accepted change.
type Record struct {
	Revision int64
	ChangeID string
	// Operator is the self-reported name of the operator who made the change; At is the time on the leader's clock.
	Operator string
	At       time.Time
	// Undo is the delta from the encoded inventory of this revision to that of the previous one.
	Undo distribution.Delta
}

// History holds the newest accepted changes in ascending order of revision. The zero value is empty.
type History struct {
	records   []Record
	undoBytes int
}

// RestoreHistory returns a history of records, which must be in ascending order of revision.
func RestoreHistory(records []Record) *History {
	h := &History{}
	for _, r := range records {
		h.Add(r)
	}
	return h
}

// Add appends the record of the revision that is now in force, and evicts the oldest records beyond the limits.
func (h *History) Add(r Record) {
	h.records = append(h.records, r)
	h.undoBytes += len(r.Undo.Middle)
	for len(h.records) > maxRecords || h.undoBytes > maxUndoBytes {
		h.undoBytes -= len(h.records[0].Undo.Middle)
		h.records[0] = Record{}
		h.records = h.records[1:]
	}
}

// Records returns a copy of the records, oldest first.
func (h *History) Records() []Record { return slices.Clone(h.records) }

// At returns the encoded inventory of a revision. The argument inForce is the encoded inventory of the newest record.
// At returns *EvictedRevisionError if the revision is not retained.
func (h *History) At(revision int64, inForce []byte) ([]byte, error) {
	content := inForce
	for i := len(h.records) - 1; i >= 0; i-- {
		r := h.records[i]
		if r.Revision == revision {
			return content, nil
		}
		var err error
		if content, err = r.Undo.Apply(content); err != nil {
			return nil, err
		}
	}
	return nil, &EvictedRevisionError{Revision: revision, Oldest: h.oldest()}
}

// oldest returns the oldest revision whose inventory is retained, or zero.
func (h *History) oldest() int64 {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[0].Revision
}

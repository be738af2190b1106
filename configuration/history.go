package configuration

import (
	"slices"
	"time"

	"arbutusreel/distribution"
)

// Bounds of a history: its records, and the bytes of what they undo.
const (
	maxRecords   = 500
	maxUndoBytes = 1 << 20
)

// Record is one accepted change.
type Record struct {
	Revision int64
	ChangeID string
	// Operator is who made the change, as told by themselves; At is the leader's time.
	Operator string
	At       time.Time
	// Undo leads from the encoded inventory of the revision back to the one before.
	Undo distribution.Delta
}

// History is the newest accepted changes in the order of their revisions. The zero value is empty.
type History struct {
	records   []Record
	undoBytes int
}

// RestoreHistory returns a history of records in the order of their revisions.
func RestoreHistory(records []Record) *History {
	h := &History{}
	for _, r := range records {
		h.Add(r)
	}
	return h
}

// Add appends the record of the revision that is now in force, and forgets the oldest beyond the bounds.
func (h *History) Add(r Record) {
	h.records = append(h.records, r)
	h.undoBytes += len(r.Undo.Middle)
	for len(h.records) > maxRecords || h.undoBytes > maxUndoBytes {
		h.undoBytes -= len(h.records[0].Undo.Middle)
		h.records[0] = Record{}
		h.records = h.records[1:]
	}
}

// Records returns a copy of the records, the oldest first.
func (h *History) Records() []Record { return slices.Clone(h.records) }

// At returns the encoded inventory of a revision, given the one in force, which must be that of the newest record. A
// revision that is not kept returns *ForgottenRevisionError.
func (h *History) At(revision int64, inForce []byte) ([]byte, error) {
	whole := inForce
	for i := len(h.records) - 1; i >= 0; i-- {
		r := h.records[i]
		if r.Revision == revision {
			return whole, nil
		}
		var err error
		if whole, err = r.Undo.Apply(whole); err != nil {
			return nil, err
		}
	}
	return nil, &ForgottenRevisionError{Revision: revision, Oldest: h.oldest()}
}

// oldest returns the oldest revision whose inventory is kept, or zero.
func (h *History) oldest() int64 {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[0].Revision
}

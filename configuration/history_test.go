package configuration

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"arbutusreel/distribution"
)

// TestHistoryReturnsRetainedRevisions compares the inventories that a history returns with a list of all inventories.
func TestHistoryReturnsRetainedRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{}
		all := [][]byte{{}}
		count := rapid.IntRange(1, 2*maxRecords).Draw(t, "changes")
		size := rapid.IntRange(1, 4<<10).Draw(t, "bytes")
		for revision := int64(1); revision <= int64(count); revision++ {
			content := bytes.Repeat([]byte{byte(revision)}, 1+int(revision)*size%(4<<10))
			h.Add(Record{Revision: revision, Undo: distribution.NewDelta(revision-1, content, all[revision-1])})
			all = append(all, content)
			if revision%97 == 0 {
				h = RestoreHistory(h.Records())
			}
		}
		inForce := all[len(all)-1]
		oldest := h.Records()[0].Revision
		if len(h.Records()) > maxRecords || h.undoBytes > maxUndoBytes {
			t.Fatalf("%d records, %d bytes", len(h.Records()), h.undoBytes)
		}
		drawn := rapid.Int64Range(0, int64(count)).Draw(t, "revision")
		for _, revision := range []int64{0, oldest - 1, oldest, drawn, int64(count)} {
			content, err := h.At(revision, inForce)
			var evicted *EvictedRevisionError
			if kept := revision >= oldest; kept != (err == nil) || !kept && !errors.As(err, &evicted) || kept && !bytes.Equal(content, all[revision]) {
				t.Fatalf("revision %d of %d, oldest %d: %v", revision, count, oldest, err)
			}
		}
	})
}

package control

import (
	"errors"
	"testing"

	"arbutusreel/consensus"
	"arbutusreel/journal"
)

// TestRestoreRefuses checks that journals are refused whose records can be decoded but violate the invariants of a log.
func TestRestoreRefuses(t *testing.T) {
	c := fuzzContents()
	hard := &consensus.HardState{Term: 2}
	tests := []struct {
		name     string
		snapshot []byte
		record   []byte
	}{
		{"a gap after the snapshot", c.Snapshot, encodeRecord(hard, []consensus.Entry{{Index: 9, Term: 2}}, 0)},
		{"no members at the beginning", nil, encodeRecord(hard, []consensus.Entry{{Index: 1, Term: 1}}, 0)},
		{"members without a voter", nil, encodeRecord(hard, []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.MembersEntry}}, 0)},
		{"an entry of a term that the voter has not seen", c.Snapshot, encodeRecord(hard, []consensus.Entry{{Index: 4, Term: 3}}, 0)},
		{"a snapshot without members", marshal(encodeSnapshot(&consensus.Snapshot{Index: 3, Term: 1})), encodeRecord(hard, nil, 0)},
		{"a negative term", nil, encodeRecord(&consensus.HardState{Term: -1}, nil, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := restore(journal.Contents{Snapshot: tt.snapshot, Records: [][]byte{tt.record}})
			if !errors.As(err, new(*consensus.MalformedError)) {
				t.Errorf("the journal was restored: %v", err)
			}
		})
	}
	if _, err := restore(c); err != nil {
		t.Errorf("a voter's journal: %v", err)
	}
}

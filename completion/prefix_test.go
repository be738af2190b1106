package completion

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPrefixHashes(t *testing.T) {
	block := strings.Repeat("a", PrefixBlockBytes)
	other := strings.Repeat("b", PrefixBlockBytes)
	long := PrefixHashes(block + other + "rest")
	if len(long) != 2 {
		t.Fatalf("two blocks and a rest have %d hashes", len(long))
	}
	tests := []struct {
		name   string
		prompt string
		want   []uint64
	}{
		{"empty", "", nil},
		{"less than a block", block[1:], nil},
		{"one block", block, long[:1]},
		{"two blocks", block + other, long},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, PrefixHashes(tt.prompt)); diff != "" {
				t.Error(diff)
			}
		})
	}
	if PrefixHashes(other + other)[1] == long[1] {
		t.Error("the hash of the second block does not depend on the first block")
	}
}

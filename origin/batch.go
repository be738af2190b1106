package origin

const (
	// keyBytes is the encoded size of a key.
	keyBytes = 8
	// batchOverhead exceeds the encoded size of a batch without its texts and keys.
	batchOverhead = 32
)

// Batch holds the keys of streams with one origin.
type Batch struct {
	Origin
	Keys []Key
}

// Size returns the number of records in batches.
func Size(batches []Batch) int {
	n := 0
	for _, b := range batches {
		n += len(b.Keys)
	}
	return n
}

// Split divides batches into groups in the same order, each of which is encoded in at most maxBytes unless it holds a
// single key.
func Split(batches []Batch, maxBytes int) [][]Batch {
	var groups [][]Batch
	var group []Batch
	left := maxBytes
	for _, b := range batches {
		overhead := batchOverhead + len(b.Service) + len(b.Software)
		for len(b.Keys) > 0 {
			n := min((left-overhead)/keyBytes, len(b.Keys))
			if n <= 0 && len(group) > 0 {
				groups, group, left = append(groups, group), nil, maxBytes
				continue
			}
			n = max(n, 1)
			group = append(group, Batch{Origin: b.Origin, Keys: b.Keys[:n]})
			b.Keys = b.Keys[n:]
			left -= overhead + n*keyBytes
		}
	}
	if len(group) > 0 {
		groups = append(groups, group)
	}
	return groups
}

// batchBuilder groups records by origin, in the order of the origins' first records.
type batchBuilder struct {
	batches []Batch
	index   map[Origin]int
}

func newBatchBuilder() *batchBuilder { return &batchBuilder{index: map[Origin]int{}} }

func (b *batchBuilder) add(key Key, o Origin) {
	i, ok := b.index[o]
	if !ok {
		i = len(b.batches)
		b.index[o] = i
		b.batches = append(b.batches, Batch{Origin: o})
	}
	b.batches[i].Keys = append(b.batches[i].Keys, key)
}

package completion

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the number of bytes of a prompt in one prefix block.
const PrefixBlockBytes = 256

// PrefixHashes returns one hash for each whole block of the prompt, in order; each hash covers the prompt up to the
// end of its block, so that two prompts share their first n hashes if and only if they share their first n blocks,
// apart from hash collisions.
func PrefixHashes(prompt string) []uint64 {
	n := len(prompt) / PrefixBlockBytes
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range hashes {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

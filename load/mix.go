package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Config describes a load.
type Config struct {
	// Entries are the caller addresses of the entries used at the start.
	Entries []string
	// Discover makes callers ask the entries for the current list of entries.
	Discover bool
	Seed     uint64
	// KeyPrefix is the prefix of the idempotency keys of calls.
	KeyPrefix string
	Mixes     []Mix
}

// Mix describes the requests of one team and class to one model or plain service.
type Mix struct {
	Name  string
	Token string
	Class string
	Model string
	// Service is a plain service; if it is not empty, calls are sent instead of completions.
	Service string
	Stream  bool
	// PerSecond is the mean arrival rate of the open-loop load: arrivals do not wait for answers.
	PerSecond float64
	Count     int
	MaxTokens int
	// AbandonShare is the fraction of streams that the caller abandons before their end.
	AbandonShare float64
	// Prefixes is the number of distinct prompt prefixes, and PrefixBytes their length; zero Prefixes makes each prompt
	// unique.
	Prefixes    int
	PrefixBytes int
	// Patience is the time within which a complete answer counts as served; zero counts every complete answer.
	Patience time.Duration
	// Weight is the weight of a request in the served share; zero stands for one.
	Weight float64
}

// maxAbandonTokens is the largest number of tokens that a caller reads of a stream that it abandons.
const maxAbandonTokens = 20

// arrival is one request with the time of its sending from the start of the load.
type arrival struct {
	index  int
	offset time.Duration
	prompt string
	// abandonAfter is the number of tokens after which the caller abandons the stream, or zero.
	abandonAfter int
}

// arrivals returns the requests of a mix with exponentially distributed gaps; they depend only on the mix, the seed and
// the stream.
func (m Mix) arrivals(seed, stream uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, stream))
	list := make([]arrival, 0, m.Count)
	var at time.Duration
	for i := range m.Count {
		a := arrival{index: i, offset: at, prompt: m.prompt(rng, i, seed)}
		if rng.Float64() < m.AbandonShare {
			a.abandonAfter = 1 + rng.IntN(maxAbandonTokens)
		}
		list = append(list, a)
		at += time.Duration(rng.ExpFloat64() / m.PerSecond * float64(time.Second))
	}
	return list
}

func (m Mix) prompt(rng *rand.Rand, i int, seed uint64) string {
	own := fmt.Sprintf("request %d of mix %q and seed %d: %d", i, m.Name, seed, rng.Uint64())
	if m.Prefixes == 0 {
		return own
	}
	word := fmt.Sprintf("prefix %d of mix %q. ", rng.IntN(m.Prefixes), m.Name)
	prefix := strings.Repeat(word, m.PrefixBytes/len(word)+1)
	return prefix[:m.PrefixBytes] + own
}

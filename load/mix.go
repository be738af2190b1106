package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Config describes a load.
type Config struct {
	// Entries are the callers' addresses to use at first.
	Entries []string
	// Discover says that callers ask the entries which of them to use.
	Discover bool
	Seed     uint64
	// KeyPrefix stands before the idempotency keys of calls.
	KeyPrefix string
	Mixes     []Mix
}

// Mix is the requests of one team, class and model or plain service.
type Mix struct {
	Name  string
	Token string
	Class string
	Model string
	// Service is a plain service; if it is not empty, calls are sent instead of completions.
	Service string
	Stream  bool
	// PerSecond is the rate of arrivals, which do not wait for answers.
	PerSecond float64
	Count     int
	MaxTokens int
	// AbandonShare is the share of streams that the caller leaves before their end.
	AbandonShare float64
	// Prefixes is the number of different beginnings of prompts, and PrefixBytes their length.
	Prefixes    int
	PrefixBytes int
	// Patience is the time within which an answer counts as served; zero counts each.
	Patience time.Duration
	// Weight is the weight of a request in the share served; zero counts as one.
	Weight float64
}

// maxTokensRead is the most tokens that a caller reads of a stream that it leaves.
const maxTokensRead = 20

// arrival is one request with the time of its sending.
type arrival struct {
	index  int
	after  time.Duration
	prompt string
	// leaveAfter is the number of tokens after which the caller leaves, or zero.
	leaveAfter int
}

// arrivals returns the requests of a mix, which depend on the seed alone.
func (m Mix) arrivals(seed, stream uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, stream))
	list := make([]arrival, 0, m.Count)
	var at time.Duration
	for i := range m.Count {
		a := arrival{index: i, after: at, prompt: m.prompt(rng, i, seed)}
		if rng.Float64() < m.AbandonShare {
			a.leaveAfter = 1 + rng.IntN(maxTokensRead)
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

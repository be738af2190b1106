package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Experiment is a load that is sent to each target in turn.
type Experiment struct {
	Name   string
	Rounds int
	Config Config
	// Engines are the addresses of the emulated engines whose utilization is measured.
	Engines []string
	// IdleShare is the fraction of the engines that is kept free, which is added to the cost of the engine time held.
	IdleShare float64
}

// Target is a system under load: its name and the caller addresses of its entries.
type Target struct {
	Name    string
	Entries []string
}

// TargetError reports a target that is not of the form name=address,address.
type TargetError struct {
	Text string
}

// Error returns the message with the invalid text.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q is not of the form name=address,address", e.Text)
}

// ParseTarget parses a target of the form name=address,address; any other text returns *TargetError.
func ParseTarget(text string) (Target, error) {
	name, addresses, ok := strings.Cut(text, "=")
	if !ok || name == "" || addresses == "" {
		return Target{}, &TargetError{Text: text}
	}
	return Target{Name: name, Entries: strings.Split(addresses, ",")}, nil
}

// DecodeExperiment decodes an experiment file; an invalid one returns *wire.MalformedError or *wire.UnknownFieldError.
func DecodeExperiment(b []byte) (Experiment, error) {
	m := &wiregen.Experiment{}
	if err := wire.DecodeJSON(b, m); err != nil {
		return Experiment{}, err
	}
	e := Experiment{
		Name:   m.GetName(),
		Rounds: max(int(m.GetRounds()), 1),
		Config: Config{Discover: m.GetDiscover(), Seed: uint64(m.GetSeed())},
	}
	for _, mix := range m.GetMixes() {
		e.Config.Mixes = append(e.Config.Mixes, decodeMix(mix))
	}
	return e, nil
}

func decodeMix(m *wiregen.LoadMix) Mix {
	return Mix{
		Name:         m.GetName(),
		Token:        m.GetToken(),
		Class:        m.GetRequestClass(),
		Model:        m.GetModel(),
		Service:      m.GetService(),
		Stream:       m.GetStreaming(),
		PerSecond:    m.GetPerSecond(),
		Count:        int(m.GetCount()),
		MaxTokens:    int(m.GetMaxTokens()),
		AbandonShare: m.GetAbandonShare(),
		Prefixes:     int(m.GetPrefixes()),
		PrefixBytes:  int(m.GetPrefixBytes()),
		Patience:     time.Duration(m.GetPatienceMillis()) * time.Millisecond,
		Weight:       m.GetWeight(),
	}
}

// TargetResult is the result of one target, by mix.
type TargetResult struct {
	Target string
	Mixes  []Result
	Use    EngineUse
}

// Run loads the targets in turn for the given number of rounds and returns the sum of each target.
func (e Experiment) Run(ctx context.Context, targets []Target, client *http.Client) []TargetResult {
	results := make([]TargetResult, len(targets))
	for round := range e.Rounds {
		for i, t := range targets {
			cfg := e.Config
			cfg.Entries = t.Entries
			cfg.Seed += uint64(round)
			cfg.KeyPrefix = fmt.Sprintf("%s-%s-%d", e.Name, t.Name, round)
			results[i] = results[i].add(e.run(ctx, t.Name, cfg, client))
		}
	}
	return results
}

// run loads one target and measures the engines from the start of the load to its last answer.
func (e Experiment) run(ctx context.Context, target string, cfg Config, client *http.Client) TargetResult {
	m := newMeter(e.Engines, client)
	stop := m.start(ctx)
	r := TargetResult{Target: target, Mixes: Run(ctx, cfg, client)}
	r.Use = stop()
	r.Use.IdleShare = e.IdleShare
	for _, mix := range r.Mixes {
		r.Use.ServedTokens += mix.ServedTokens
	}
	return r
}

func (r TargetResult) add(other TargetResult) TargetResult {
	if r.Mixes == nil {
		return other
	}
	sum := TargetResult{Target: other.Target, Use: r.Use.add(other.Use)}
	for i, m := range other.Mixes {
		sum.Mixes = append(sum.Mixes, r.Mixes[i].Merge(m))
	}
	return sum
}

// WriteTables writes the results of each target, and then the difference of the first two; it returns the error of a
// failed write.
func WriteTables(w io.Writer, results []TargetResult) error {
	for _, r := range results {
		if _, err := fmt.Fprintf(w, "== %s\n", r.Target); err != nil {
			return err
		}
		for _, m := range r.Mixes {
			if err := m.WriteTable(w); err != nil {
				return err
			}
		}
		if err := r.Use.writeTable(w); err != nil {
			return err
		}
	}
	if len(results) < 2 {
		return nil
	}
	return writeDifference(w, results[0], results[1])
}

func writeDifference(w io.Writer, a, b TargetResult) error {
	var text strings.Builder
	fmt.Fprintf(&text, "== %s less %s, milliseconds\n", a.Target, b.Target)
	fmt.Fprintf(&text, "%-24s %10s %10s %10s\n", "", "p50", "p95", "p99")
	for i, m := range a.Mixes {
		other := b.Mixes[i]
		writeDelta(&text, m.Mix+" first token", quantilesOf(m.FirstToken), quantilesOf(other.FirstToken))
		writeDelta(&text, m.Mix+" between tokens", quantilesOf(m.BetweenTokens), quantilesOf(other.BetweenTokens))
		writeDelta(&text, m.Mix+" finish", quantilesOf(m.Finish), quantilesOf(other.Finish))
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func writeDelta(b *strings.Builder, name string, x, y Quantiles) {
	fmt.Fprintf(b, "%-24s %10.3f %10.3f %10.3f\n", name, x.P50-y.P50, x.P95-y.P95, x.P99-y.P99)
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"arbutusreel/load"
	"arbutusreel/standin"
)

// maxIdleConnections is the number of idle connections to one entry that the load generator keeps open.
const maxIdleConnections = 1024

// reportFileMode is the permission mode of result files.
const reportFileMode = 0o644

// loadOptions are the flags of the load and experiment subcommands.
type loadOptions struct {
	cfg       load.Config
	mix       load.Mix
	entries   []string
	engines   []string
	targets   []string
	idleShare float64
	file      string
	files     []string
	output    string
}

func newLoadOptions() loadOptions {
	return loadOptions{
		cfg: load.Config{Seed: 1, KeyPrefix: "load"},
		mix: load.Mix{Name: "load", Count: 20, PerSecond: 20, MaxTokens: 256},
	}
}

func (o *loadOptions) flags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.entries, "", "entries", "Caller addresses of the entries.")
	sub.Bool(&o.cfg.Discover, "", "discover", "Asks the given entries which entries to use.")
	sub.String(&o.mix.Token, "", "token", "Bearer token of the team.")
	sub.String(&o.mix.Class, "", "class", "Request class.")
	sub.String(&o.mix.Model, "", "model", "Model of the completion requests.")
	sub.String(&o.mix.Service, "", "service", "Plain service to call instead of sending completion requests.")
	sub.Bool(&o.mix.Stream, "", "stream", "Requests streamed responses.")
	sub.Int(&o.mix.Count, "", "count", "Number of requests.")
	sub.Float64(&o.mix.PerSecond, "", "rate", "Requests per second.")
	sub.Int(&o.mix.MaxTokens, "", "maxTokens", "Value of max_tokens in completion requests.")
	sub.Float64(&o.mix.AbandonShare, "", "abandonShare", "Share of streams that the caller abandons.")
	sub.Int(&o.mix.Prefixes, "", "prefixes", "Number of distinct prompt prefixes.")
	sub.Int(&o.mix.PrefixBytes, "", "prefixBytes", "Length of a prompt prefix in bytes.")
	sub.Duration(&o.mix.Patience, "", "patience", "Time within which a response counts as served.")
	sub.UInt64(&o.cfg.Seed, "", "seed", "Random seed of the load.")
	sub.String(&o.cfg.KeyPrefix, "", "keyPrefix", "Prefix of the idempotency keys.")
	o.engineFlags(sub)
	sub.String(&o.output, "", "output", "File for the result as JSON.")
}

func (o *loadOptions) experimentFlags(sub *flaggy.Subcommand) {
	sub.String(&o.file, "", "file", "Experiment file.")
	sub.StringSlice(&o.targets, "", "target", "System under load, as name=address,address.")
	o.engineFlags(sub)
	sub.String(&o.output, "", "output", "File for the result as JSON.")
}

func (o *loadOptions) engineFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.engines, "", "engines", "Addresses of emulated engines; measures their utilization and the time until they cancel abandoned requests.")
	sub.Float64(&o.idleShare, "", "idleShare", "Share of engine capacity reserved as headroom, which is added to the cost.")
}

func (o *loadOptions) summaryFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.files, "", "files", "Result files of experiments, in JSON.")
	sub.String(&o.output, "", "output", "File for the summary as JSON.")
}

// summarize prints a table that compares several result files, and writes it as JSON if an output file is set.
func (o *loadOptions) summarize() error {
	var reports [][]byte
	for _, name := range splitLists(o.files) {
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		reports = append(reports, b)
	}
	s, err := load.Summarize(reports)
	if err != nil {
		return err
	}
	if err := s.WriteTable(os.Stdout); err != nil {
		return err
	}
	if o.output == "" {
		return nil
	}
	b, err := s.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(o.output, b, reportFileMode)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
}

// run sends the load described by the flags to the entries.
func (o *loadOptions) run(ctx context.Context) error {
	o.cfg.Mixes = []load.Mix{o.mix}
	e := load.Experiment{Name: o.mix.Name, Rounds: 1, Config: o.cfg}
	return o.measure(ctx, e, []load.Target{{Name: "entries", Entries: splitLists(o.entries)}})
}

// runExperiment sends the load described by an experiment file to each target in turn.
func (o *loadOptions) runExperiment(ctx context.Context) error {
	b, err := os.ReadFile(o.file)
	if err != nil {
		return err
	}
	e, err := load.DecodeExperiment(b)
	if err != nil {
		return err
	}
	var targets []load.Target
	for _, text := range o.targets {
		t, err := load.ParseTarget(text)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	return o.measure(ctx, e, targets)
}

// measure runs an experiment, prints its tables, and writes the result as JSON if an output file is set.
func (o *loadOptions) measure(ctx context.Context, e load.Experiment, targets []load.Target) error {
	e.Engines = splitLists(o.engines)
	e.IdleShare = o.idleShare
	results := e.Run(ctx, targets, newClient())
	if err := load.WriteTables(os.Stdout, results); err != nil {
		return err
	}
	if len(o.engines) > 0 {
		if err := o.writeCancellationLags(ctx, results); err != nil {
			return err
		}
	}
	if o.output == "" {
		return nil
	}
	b, err := load.EncodeReport(e.Name, e.Config.Seed, results)
	if err != nil {
		return err
	}
	return os.WriteFile(o.output, b, reportFileMode)
}

// writeCancellationLags prints quantiles of the time between a caller's disconnect and the engine's cancellation of its
// request.
func (o *loadOptions) writeCancellationLags(ctx context.Context, results []load.TargetResult) error {
	disconnectedAt := map[string]int64{}
	for _, r := range results {
		for _, m := range r.Mixes {
			for id, at := range m.AbandonedAt {
				disconnectedAt[id] = at
			}
		}
	}
	lags := hdrhistogram.New(1, 60_000_000, 3)
	finished := len(disconnectedAt)
	for _, address := range splitLists(o.engines) {
		counts, err := readCounts(ctx, address)
		if err != nil {
			return err
		}
		for id, at := range counts.Cancels {
			if leftAt, ok := disconnectedAt[id]; ok {
				_ = lags.RecordValue(max(at-leftAt, 1))
				finished--
			}
		}
	}
	_, err := fmt.Printf("cancelled at the engine %d, finished before %d, milliseconds after the caller disconnected: p50 %.2f, p95 %.2f, p99 %.2f, max %.2f\n",
		lags.TotalCount(), finished, millis(lags.ValueAtQuantile(50)), millis(lags.ValueAtQuantile(95)), millis(lags.ValueAtQuantile(99)), millis(lags.Max()))
	return err
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func readCounts(ctx context.Context, address string) (standin.Counts, error) {
	var counts standin.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", nil)
	if err != nil {
		return counts, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, err
	}
	defer resp.Body.Close()
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}

// splitLists returns the items of comma-separated lists.
func splitLists(lists []string) []string {
	var items []string
	for _, list := range lists {
		items = append(items, strings.Split(list, ",")...)
	}
	return items
}

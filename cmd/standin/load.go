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

// maxIdleConnections is the number of connections to one entry that the load tool keeps open.
const maxIdleConnections = 1024

// reportMode is the mode of a result file.
const reportMode = 0o644

// loadOptions are the flags of the load and experiment subcommands.
type loadOptions struct {
	cfg     load.Config
	mix     load.Mix
	entries []string
	engines []string
	targets []string
	idle    float64
	file    string
	files   []string
	output  string
}

func newLoadOptions() loadOptions {
	return loadOptions{
		cfg: load.Config{Seed: 1, KeyPrefix: "load"},
		mix: load.Mix{Name: "load", Count: 20, PerSecond: 20, MaxTokens: 256},
	}
}

func (o *loadOptions) flags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.entries, "", "entries", "Callers' addresses of entries.")
	sub.Bool(&o.cfg.Discover, "", "discover", "Whether to ask the entries which of them to use.")
	sub.String(&o.mix.Token, "", "token", "Token of the team.")
	sub.String(&o.mix.Class, "", "class", "Class of the requests.")
	sub.String(&o.mix.Model, "", "model", "Model of the completions.")
	sub.String(&o.mix.Service, "", "service", "Plain service to call instead of completions.")
	sub.Bool(&o.mix.Stream, "", "stream", "Whether answers are streamed.")
	sub.Int(&o.mix.Count, "", "count", "Number of requests.")
	sub.Float64(&o.mix.PerSecond, "", "rate", "Requests a second.")
	sub.Int(&o.mix.MaxTokens, "", "maxTokens", "Tokens asked for.")
	sub.Float64(&o.mix.AbandonShare, "", "abandonShare", "Share of streams that the caller leaves.")
	sub.Int(&o.mix.Prefixes, "", "prefixes", "Number of different beginnings of prompts.")
	sub.Int(&o.mix.PrefixBytes, "", "prefixBytes", "Length of the beginnings of prompts.")
	sub.Duration(&o.mix.Patience, "", "patience", "Time within which an answer counts as served.")
	sub.UInt64(&o.cfg.Seed, "", "seed", "Seed of the load.")
	sub.String(&o.cfg.KeyPrefix, "", "keyPrefix", "Text before the idempotency keys.")
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
	sub.StringSlice(&o.engines, "", "engines", "Addresses of emulated engines whose use is measured, and which are asked when they gave up abandoned requests.")
	sub.Float64(&o.idle, "", "idleShare", "Share of the engines that is kept free, which is added to the cost.")
}

func (o *loadOptions) summaryFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.files, "", "files", "Results of experiments as JSON.")
	sub.String(&o.output, "", "output", "File for the summary as JSON.")
}

// summarize writes the table of several results, and its file.
func (o *loadOptions) summarize() error {
	var reports [][]byte
	for _, name := range split(o.files) {
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
	return os.WriteFile(o.output, b, reportMode)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
}

// run sends the load of the flags to the entries.
func (o *loadOptions) run(ctx context.Context) error {
	o.cfg.Mixes = []load.Mix{o.mix}
	e := load.Experiment{Name: o.mix.Name, Rounds: 1, Config: o.cfg}
	return o.measure(ctx, e, []load.Target{{Name: "entries", Entries: split(o.entries)}})
}

// runExperiment sends the load of a file to the targets in turn.
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

// measure runs an experiment, and writes its tables and its file.
func (o *loadOptions) measure(ctx context.Context, e load.Experiment, targets []load.Target) error {
	e.Engines = split(o.engines)
	e.IdleShare = o.idle
	results := e.Run(ctx, targets, newClient())
	if err := load.WriteTables(os.Stdout, results); err != nil {
		return err
	}
	if len(o.engines) > 0 {
		if err := o.writeCancels(ctx, results); err != nil {
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
	return os.WriteFile(o.output, b, reportMode)
}

// writeCancels writes the times between a caller's leaving and the engine's giving its request up.
func (o *loadOptions) writeCancels(ctx context.Context, results []load.TargetResult) error {
	left := map[string]int64{}
	for _, r := range results {
		for _, m := range r.Mixes {
			for id, at := range m.Left {
				left[id] = at
			}
		}
	}
	lags := hdrhistogram.New(1, 60_000_000, 3)
	finished := len(left)
	for _, address := range split(o.engines) {
		counts, err := readCounts(ctx, address)
		if err != nil {
			return err
		}
		for id, at := range counts.Cancels {
			if leftAt, ok := left[id]; ok {
				_ = lags.RecordValue(max(at-leftAt, 1))
				finished--
			}
		}
	}
	_, err := fmt.Printf("cancelled at the engine %d, finished before %d, milliseconds after the caller left: p50 %.2f, p95 %.2f, p99 %.2f, max %.2f\n",
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

// split returns the items of lists whose items are separated by commas.
func split(lists []string) []string {
	var items []string
	for _, list := range lists {
		items = append(items, strings.Split(list, ",")...)
	}
	return items
}

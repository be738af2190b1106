package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/directory"
	"arbutusreel/standin"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// exitInjectedDeath is the exit code after the injected fault of the dieAfterTokens flag.
const exitInjectedDeath = 3

// options holds the flags of all subcommands.
type options struct {
	name, address, region, failureDomain, service, directory string
	models                                                   []string
	slots                                                    int
	leaveNotice                                              time.Duration
	engine                                                   standin.EngineConfig

	load loadOptions
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	o := &options{slots: 8, leaveNotice: 2 * time.Second}
	o.engine = standin.EngineConfig{TokenTime: 10 * time.Millisecond, PrefillTime: 200 * time.Microsecond, CacheBlocks: 4096, KVBytesPerSecond: 1e9, Seed: 1}
	o.load = newLoadOptions()
	parser := flaggy.NewParser("standin")
	engine := o.subcommand("engine", "Runs an emulated model engine.", o.engineFlags)
	service := o.subcommand("service", "Runs an emulated endpoint of a plain service.", o.endpointFlags)
	dir := o.subcommand("directory", "Runs a directory.", o.endpointFlags)
	generator := o.subcommand("load", "Generates load and prints a table of results.", o.load.flags)
	experiment := o.subcommand("experiment", "Sends the load of an experiment file to several targets and compares them.", o.load.experimentFlags)
	summary := o.subcommand("summary", "Compares targets over several result files of an experiment.", o.load.summaryFlags)
	for _, sub := range []*flaggy.Subcommand{engine, service, dir, generator, experiment, summary} {
		parser.AttachSubcommand(sub, 1)
	}
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		return err
	}
	switch {
	case engine.Used:
		return o.runEngine(ctx)
	case service.Used:
		return o.runService(ctx)
	case dir.Used:
		return serve(ctx, o.address, standin.NewDirectory().Handler(), func(ctx context.Context) { <-ctx.Done() })
	case generator.Used:
		return o.load.run(ctx)
	case experiment.Used:
		return o.load.runExperiment(ctx)
	case summary.Used:
		return o.load.summarize()
	}
	parser.ShowHelp()
	return nil
}

func (o *options) subcommand(name, doc string, flags func(*flaggy.Subcommand)) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = doc
	flags(sub)
	return sub
}

func (o *options) endpointFlags(sub *flaggy.Subcommand) {
	sub.String(&o.name, "", "name", "Name of the endpoint.")
	sub.String(&o.address, "", "address", "Address to listen on.")
	sub.String(&o.region, "", "region", "Region of the endpoint.")
	sub.String(&o.failureDomain, "", "failureDomain", "Failure domain of the endpoint.")
	sub.String(&o.service, "", "service", "Service of the endpoint.")
	sub.String(&o.directory, "", "directory", "Address of the directory.")
	sub.StringSlice(&o.models, "", "models", "Models and adapters to load: MODEL, MODEL@VERSION or MODEL:ADAPTER.")
	sub.Int(&o.slots, "", "slots", "Maximum number of concurrent requests.")
	sub.Duration(&o.leaveNotice, "", "leaveNotice", "Time between the first announcement of leaving and the stop.")
}

func (o *options) engineFlags(sub *flaggy.Subcommand) {
	o.endpointFlags(sub)
	e := &o.engine
	sub.Int(&e.CacheTokens, "", "cacheTokens", "KV cache capacity in tokens, shared by running requests; 0 is unbounded.")
	sub.Float64(&e.PricePerHour, "", "pricePerHour", "Price of the engine per hour.")
	sub.Duration(&e.TokenTime, "", "tokenTime", "Decode time per token.")
	sub.Float64(&e.BatchSlowdown, "", "batchSlowdown", "Relative increase of the token time when all slots are in use.")
	sub.Duration(&e.PrefillTime, "", "prefillTime", "Prefill time per uncached prompt token.")
	sub.Int(&e.CacheBlocks, "", "cacheBlocks", "Capacity of the prefix cache in blocks.")
	sub.Duration(&e.CacheEventDelay, "", "cacheEventDelay", "Delay between a cache event and its announcement.")
	sub.Float64(&e.CacheEventLossShare, "", "cacheEventGap", "Share of announcements whose cache events are lost.")
	sub.Duration(&e.ReportLag, "", "reportLag", "Age of the load report in an announcement.")
	sub.Float64(&e.KVBytesPerSecond, "", "kvBytesPerSecond", "Bandwidth of KV cache transfers in bytes per second.")
	sub.Bool(&e.ChecksFencing, "", "checksFencing", "Refuses orders with stale fencing tokens.")
	sub.Duration(&e.LoadTime, "", "loadTime", "Time to load a model from the weight store.")
	sub.Duration(&e.AdapterLoadTime, "", "adapterLoadTime", "Time to load an adapter from the weight store.")
	sub.String(&e.SoftwareVersion, "", "softwareVersion", "Software version to announce and to write before each token; empty announces none and checks resumed text.")
	sub.UInt64(&e.Seed, "", "seed", "Random seed of the engine.")
	sub.Int(&e.Faults.DieAfterTokens, "", "dieAfterTokens", "Number of tokens after which the process exits immediately; 0 disables the fault.")
	sub.String(&e.Faults.DieAtPrompt, "", "dieAtPrompt", "Text in a prompt at which the process exits before it answers; empty disables the fault.")
	sub.Int(&e.Faults.StallAfterTokens, "", "stallAfterTokens", "Number of tokens after which a stream stalls; 0 disables the fault.")
	sub.Float64(&e.Faults.RefuseShare, "", "refuseShare", "Share of requests that fail immediately.")
}

// serve serves HTTP until announce returns, which it does after ctx ends, and then waits for requests in progress.
func serve(ctx context.Context, address string, handler http.Handler, announce func(context.Context)) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		announce(ctx)
	}()
	select {
	case err := <-failed:
		return err
	case <-done:
	}
	server.SetKeepAlivesEnabled(false)
	return server.Shutdown(context.WithoutCancel(ctx))
}

func (o *options) runEngine(ctx context.Context) error {
	cfg := o.engine
	cfg.Name = o.name
	cfg.Address = o.address
	cfg.Region = o.region
	cfg.FailureDomain = o.failureDomain
	cfg.Service = o.service
	cfg.Models = o.models
	cfg.Slots = o.slots
	cfg.LeaveNotice = o.leaveNotice
	cfg.Incarnation = time.Now().UnixNano()
	cfg.Faults.Die = func() { os.Exit(exitInjectedDeath) }
	e := standin.NewEngine(cfg, directory.New(o.directory, http.DefaultClient))
	return serve(ctx, o.address, e.Handler(), e.Run)
}

func (o *options) runService(ctx context.Context) error {
	s := standin.NewService(standin.ServiceConfig{
		Name:          o.name,
		Address:       o.address,
		Region:        o.region,
		FailureDomain: o.failureDomain,
		Service:       o.service,
		Slots:         o.slots,
		LeaveNotice:   o.leaveNotice,
		Incarnation:   time.Now().UnixNano(),
	}, directory.New(o.directory, http.DefaultClient))
	return serve(ctx, o.address, s.Handler(), s.Run)
}

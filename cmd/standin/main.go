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

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// exitDied is the exit code of an engine that was told to die.
const exitDied = 3

// options are the flags of all subcommands.
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
	engine := o.subcommand("engine", "Runs a model engine.", o.engineFlags)
	service := o.subcommand("service", "Runs an endpoint of a plain service.", o.endpointFlags)
	dir := o.subcommand("directory", "Runs a directory.", o.endpointFlags)
	generator := o.subcommand("load", "Sends load and prints a table.", o.load.flags)
	experiment := o.subcommand("experiment", "Sends the load of a file to several targets and compares them.", o.load.experimentFlags)
	summary := o.subcommand("summary", "Compares the targets of several results of an experiment.", o.load.summaryFlags)
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
	sub.String(&o.address, "", "address", "Address to serve.")
	sub.String(&o.region, "", "region", "Region of the endpoint.")
	sub.String(&o.failureDomain, "", "failureDomain", "Failure domain of the endpoint.")
	sub.String(&o.service, "", "service", "Service of the endpoint.")
	sub.String(&o.directory, "", "directory", "Address of the directory.")
	sub.StringSlice(&o.models, "", "models", "Names that are loaded: MODEL, MODEL@VERSION or MODEL:ADAPTER.")
	sub.Int(&o.slots, "", "slots", "Requests that run at once.")
	sub.Duration(&o.leaveNotice, "", "leaveNotice", "Time between the first announcement as leaving and the stop.")
}

func (o *options) engineFlags(sub *flaggy.Subcommand) {
	o.endpointFlags(sub)
	e := &o.engine
	sub.Int(&e.CacheTokens, "", "cacheTokens", "KV tokens that running requests share; 0 is unbounded.")
	sub.Float64(&e.PricePerHour, "", "pricePerHour", "Price of the engine.")
	sub.Duration(&e.TokenTime, "", "tokenTime", "Time between two tokens.")
	sub.Float64(&e.BatchSlowdown, "", "batchSlowdown", "Share by which the token time grows when all slots run.")
	sub.Duration(&e.PrefillTime, "", "prefillTime", "Time of a token of the prompt that is not cached.")
	sub.Int(&e.CacheBlocks, "", "cacheBlocks", "Prefix blocks that the cache holds.")
	sub.Duration(&e.CacheEventDelay, "", "cacheEventDelay", "Age at which a cache event is announced.")
	sub.Float64(&e.CacheEventGap, "", "cacheEventGap", "Share of announcements whose cache events are lost.")
	sub.Duration(&e.ReportLag, "", "reportLag", "Age of the load in an announcement.")
	sub.Float64(&e.KVBytesPerSecond, "", "kvBytesPerSecond", "Rate of KV cache transfers.")
	sub.Bool(&e.ChecksFencing, "", "checksFencing", "Whether orders with old fencing numbers are refused.")
	sub.Duration(&e.LoadTime, "", "loadTime", "Time in which the weight store serves a model.")
	sub.Duration(&e.AdapterLoadTime, "", "adapterLoadTime", "Time in which the weight store serves an adapter.")
	sub.UInt64(&e.Seed, "", "seed", "Seed of the engine.")
	sub.Int(&e.Faults.DieAfterTokens, "", "dieAfterTokens", "Tokens after which the process ends at once; 0 never.")
	sub.Int(&e.Faults.StallAfterTokens, "", "stallAfterTokens", "Tokens after which a stream sends nothing more; 0 never.")
	sub.Float64(&e.Faults.RefuseShare, "", "refuseShare", "Share of requests that fail at once.")
}

// serve serves until ctx ends and announce has returned, and then waits for the requests in progress.
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
	cfg.Faults.Die = func() { os.Exit(exitDied) }
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

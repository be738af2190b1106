package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/directory"
	"arbutusreel/load"
	"arbutusreel/standin"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// options are the flags of all subcommands.
type options struct {
	name, address, region, failureDomain, service, directory string
	models                                                   []string
	slots                                                    int
	tokenTime, prefillTime                                   time.Duration

	load    load.Config
	entries []string
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
	o := &options{slots: 8, tokenTime: 10 * time.Millisecond, prefillTime: 200 * time.Microsecond}
	o.load = load.Config{Count: 20, Rate: 20, MaxTokens: 256, Seed: 1, KeyPrefix: "load"}
	parser := flaggy.NewParser("standin")
	engine := o.subcommand("engine", "Runs a model engine.", o.endpointFlags)
	service := o.subcommand("service", "Runs an endpoint of a plain service.", o.endpointFlags)
	dir := o.subcommand("directory", "Runs a directory.", o.endpointFlags)
	generator := o.subcommand("load", "Sends load and prints a table.", o.loadFlags)
	for _, sub := range []*flaggy.Subcommand{engine, service, dir, generator} {
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
		return o.runLoad(ctx)
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
	sub.StringSlice(&o.models, "", "models", "Models that are loaded.")
	sub.Int(&o.slots, "", "slots", "Requests that run at once.")
	sub.Duration(&o.tokenTime, "", "tokenTime", "Time between two tokens.")
	sub.Duration(&o.prefillTime, "", "prefillTime", "Time of a token of the prompt.")
}

func (o *options) loadFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&o.entries, "", "entries", "Callers' addresses of entries.")
	sub.String(&o.load.Token, "", "token", "Token of the team.")
	sub.String(&o.load.Class, "", "class", "Class of the requests.")
	sub.String(&o.load.Model, "", "model", "Model of the completions.")
	sub.String(&o.load.Service, "", "service", "Plain service to call instead of completions.")
	sub.Bool(&o.load.Stream, "", "stream", "Whether answers are streamed.")
	sub.Int(&o.load.Count, "", "count", "Number of requests.")
	sub.Float64(&o.load.Rate, "", "rate", "Requests a second.")
	sub.Int(&o.load.MaxTokens, "", "maxTokens", "Tokens asked for.")
	sub.UInt64(&o.load.Seed, "", "seed", "Seed of the load.")
	sub.String(&o.load.KeyPrefix, "", "keyPrefix", "Text before the idempotency keys.")
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
	return server.Shutdown(context.WithoutCancel(ctx))
}

func (o *options) runEngine(ctx context.Context) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name:          o.name,
		Address:       o.address,
		Region:        o.region,
		FailureDomain: o.failureDomain,
		Service:       o.service,
		Models:        o.models,
		Slots:         o.slots,
		TokenTime:     o.tokenTime,
		PrefillTime:   o.prefillTime,
		Incarnation:   time.Now().UnixNano(),
	}, directory.New(o.directory, http.DefaultClient))
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
		Incarnation:   time.Now().UnixNano(),
	}, directory.New(o.directory, http.DefaultClient))
	return serve(ctx, o.address, s.Handler(), s.Run)
}

func (o *options) runLoad(ctx context.Context) error {
	o.load.Entries = nil
	for _, list := range o.entries {
		o.load.Entries = append(o.load.Entries, strings.Split(list, ",")...)
	}
	return load.Run(ctx, o.load, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}).WriteTable(os.Stdout)
}

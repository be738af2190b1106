package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/proto"

	"arbutusreel/settings"
)

// version is the version of the program.
const version = "0.1.0"

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand with its settings, flags and action.
type command struct {
	name     string
	doc      string
	settings proto.Message
	flags    settings.Flags
	bind     func(sub *flaggy.Subcommand)
	// check returns settings.Faults if individually valid settings are inconsistent with each other; it may be nil.
	check func() error
	run   func(ctx context.Context, stdout io.Writer) error
	sub   *flaggy.Subcommand
}

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	// Signals stay caught until the process has ended, as one more would cut off an orderly end.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line, loads the settings, runs the command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("arbutusreel")
	parser.Description = "A multi-region inference gateway."
	parser.Version = version
	commands := append(commands(), platformCommands()...)
	for _, c := range commands {
		c.attach(parser)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.execute(ctx, stdout, stderr)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func commands() []*command {
	return []*command{
		entryCommand(),
		controlCommand(),
		applyCommand(),
		getCommand(),
		statusCommand(),
		membersCommand(),
		explainCommand(),
		whereCommand(),
		traceCommand(),
		lossesCommand(),
		repairCommand(),
		patchCommand(),
		diffCommand(),
		historyCommand(),
		rollbackCommand(),
		checkCommand(),
		settingsCommand(),
		versionCommand(),
	}
}

func (c *command) attach(parser *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand(c.name)
	c.sub.Description = c.doc
	if c.settings != nil {
		c.flags = settings.Bind(binder{sub: c.sub}, c.settings)
	}
	if c.bind != nil {
		c.bind(c.sub)
	}
	parser.AttachSubcommand(c.sub, 1)
}

func (c *command) execute(ctx context.Context, stdout, stderr io.Writer) int {
	if c.settings != nil {
		if err := settings.Load(c.settings, c.flags, os.Getenv); err != nil {
			fmt.Fprintln(stderr, err)
			return exitUsage
		}
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			fmt.Fprintln(stderr, err)
			return exitUsage
		}
	}
	if err := c.run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return 0
}

// binder registers flags on a flaggy subcommand.
type binder struct {
	sub *flaggy.Subcommand
}

// String registers a string flag.
func (b binder) String(value *string, short, long, description string) {
	b.sub.String(value, short, long, description)
}

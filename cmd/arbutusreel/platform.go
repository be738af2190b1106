package main

import (
	"context"
	"expvar"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/logs"
	"arbutusreel/platform"
)

// logTimeout bounds the time to flush the log when the process exits.
const logTimeout = 200 * time.Millisecond

// platformCommand returns a command that runs a daemon with the platform's settings file, which SIGHUP reloads.
func platformCommand(name, doc string, run func(context.Context, string, <-chan os.Signal, zerolog.Logger) error) *command {
	return &command{
		name: name,
		doc:  doc,
		run: func(ctx context.Context, stdout io.Writer) error {
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			lines := logs.New(stdout)
			defer lines.Close(logTimeout)
			expvar.Publish("logLinesDropped", expvar.Func(func() any { return lines.Dropped() }))
			zerolog.TimeFieldFormat = logTimeFormat
			return run(ctx, platform.SettingsPath(os.Getenv), reload, zerolog.New(lines).With().Timestamp().Logger())
		},
	}
}

func platformCommands() []*command {
	return []*command{
		platformCommand("platform-gateway", "Runs the gateway daemon of a platform instance.", platform.Gateway),
		platformCommand("platform-control", "Runs the control daemon of a platform instance.", platform.Control),
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/trace"
)

// traceCommand prints what gateways logged about one request.
func traceCommand() *command {
	var request, files string
	return &command{
		name: "trace",
		doc:  "Prints the log lines of several gateways about one request, in the order of time: trace REQUEST FILE,...",
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&request, "request", 1, true, "ID of the request.")
			sub.AddPositionalValue(&files, "files", 2, true, "Log files, separated by commas; - is standard input.")
		},
		run: func(_ context.Context, stdout io.Writer) error {
			p := trace.NewPath(request)
			if err := readLogs(files, p.Add); err != nil {
				return err
			}
			lines := p.Lines()
			if len(lines) == 0 {
				return &NoLinesError{Request: request, Files: files}
			}
			for _, l := range lines {
				fmt.Fprintln(stdout, l.Text)
			}
			return nil
		},
	}
}

// lossesCommand prints how the requests of each route ended.
func lossesCommand() *command {
	var files string
	limits := trace.Limits{First: time.Second, Pause: 300 * time.Millisecond}
	return &command{
		name: "losses",
		doc:  "Counts how the requests of each route ended, from the logs of all gateways: losses FILE,...",
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&files, "files", 1, true, "Log files, separated by commas; - is standard input.")
			sub.Duration(&limits.First, "", "late", "Time after which the beginning of an answer is late.")
			sub.Duration(&limits.Pause, "", "pause", "Time between two events of a stream after which it is late.")
		},
		run: func(_ context.Context, stdout io.Writer) error {
			c := trace.NewLosses(limits)
			if err := readLogs(files, c.Add); err != nil {
				return err
			}
			for _, loss := range c.Table() {
				fmt.Fprintln(stdout, loss)
			}
			return nil
		},
	}
}

// readLogs reads the log files of a list separated by commas, one after the other.
func readLogs(files string, each func(trace.Line)) error {
	for name := range strings.SplitSeq(files, ",") {
		if err := readLog(name, each); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, each func(trace.Line)) error {
	if name == "-" {
		_, err := trace.Read(os.Stdin, each)
		return err
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	_, err = trace.Read(f, each)
	return errors.Join(err, f.Close())
}

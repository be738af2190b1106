package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"arbutusreel/decision"
	"arbutusreel/operator"
	"arbutusreel/wiregen"
)

func explainCommand() *command {
	m := &wiregen.OperatorSettings{}
	var first, second, entries string
	return &command{
		name:     "explain",
		doc:      "Prints why a request or a placement went where it went: explain CORRELATION_ID, or explain placement ENDPOINT.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&first, "subject", 1, true, "Correlation id of a request, or the word placement.")
			sub.AddPositionalValue(&second, "endpoint", 2, false, "Name of the endpoint, after the word placement.")
			sub.String(&entries, "", "entries", "Callers' addresses of entries to ask; without it those that the control voters know.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			subject := decision.Subject{Kind: decision.Request, Name: first}
			if first == "placement" && second != "" {
				subject = decision.Subject{Kind: decision.Placement, Name: second}
			}
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				return explain(ctx, c, subject, entries, stdout)
			})
		},
	}
}

// explain prints the story of the subject across instances.
func explain(ctx context.Context, c *operator.Client, subject decision.Subject, entries string, stdout io.Writer) error {
	addresses, err := entryAddresses(ctx, c, entries)
	if err != nil {
		return err
	}
	story := c.Explain(ctx, subject, addresses)
	if len(story.Lines) == 0 {
		return &NoDecisionError{Subject: subject, Silent: story.Silent}
	}
	for _, text := range story.Lines {
		fmt.Fprintln(stdout, text)
	}
	for _, address := range story.Silent {
		fmt.Fprintf(stdout, "no answer from %s; the story may lack lines\n", address)
	}
	return nil
}

func entryAddresses(ctx context.Context, c *operator.Client, given string) ([]string, error) {
	if given != "" {
		return strings.Split(given, ","), nil
	}
	reply, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, e := range reply.GetEntries() {
		addresses = append(addresses, e.GetCallerAddress())
	}
	return addresses, nil
}

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
		doc:      "Explains the routing of a request or the placement of an endpoint: explain CORRELATION_ID, or explain placement ENDPOINT.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&first, "subject", 1, true, "Correlation id of a request, or the word placement.")
			sub.AddPositionalValue(&second, "endpoint", 2, false, "Name of the endpoint, after the word placement.")
			sub.String(&entries, "", "entries", "Caller addresses of the entries to query; by default those known to the control voters.")
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

// explain prints the decision log of the subject, merged from all instances.
func explain(ctx context.Context, c *operator.Client, subject decision.Subject, entries string, stdout io.Writer) error {
	addresses, err := entryAddresses(ctx, c, entries)
	if err != nil {
		return err
	}
	explanation := c.Explain(ctx, subject, addresses)
	if len(explanation.Lines) == 0 {
		return &NoDecisionError{Subject: subject, Unreachable: explanation.Unreachable}
	}
	for _, text := range explanation.Lines {
		fmt.Fprintln(stdout, text)
	}
	for _, address := range explanation.Unreachable {
		fmt.Fprintf(stdout, "no answer from %s; decisions may be missing\n", address)
	}
	return nil
}

func entryAddresses(ctx context.Context, c *operator.Client, entries string) ([]string, error) {
	if entries != "" {
		return strings.Split(entries, ","), nil
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

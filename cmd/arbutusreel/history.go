package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/operator"
	"arbutusreel/wiregen"
)

func getCommand() *command {
	m := &wiregen.OperatorSettings{}
	var revision string
	return &command{
		name:     "get",
		doc:      "Prints the inventory in force and its revision; the apply command takes the edited output.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.String(&revision, "", "revision", "Earlier revision whose inventory is printed.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := inventoryOf(ctx, c, revision)
				if err != nil {
					return err
				}
				return printReply(stdout, reply)
			})
		},
	}
}

// inventoryOf returns the inventory of a revision, or without one that in force.
func inventoryOf(ctx context.Context, c *operator.Client, revision string) (*wiregen.InventoryReply, error) {
	if revision == "" {
		return c.Inventory(ctx)
	}
	n, err := strconv.ParseInt(revision, 10, 64)
	if err != nil || n <= 0 {
		return nil, &RevisionError{Text: revision}
	}
	return c.InventoryAt(ctx, n)
}

// defaultChanges is the number of changes that the history command prints without another number.
const defaultChanges = 20

func historyCommand() *command {
	m := &wiregen.OperatorSettings{}
	count := defaultChanges
	return &command{
		name:     "history",
		doc:      "Prints the newest accepted changes: when, by whom, and each value that they changed.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.Int(&count, "", "count", "Number of changes to print.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := c.History(ctx, count)
				if err != nil {
					return err
				}
				writeHistory(stdout, reply)
				return nil
			})
		},
	}
}

// maxValueText is the number of bytes of a value that is printed.
const maxValueText = 200

func writeHistory(stdout io.Writer, m *wiregen.HistoryReply) {
	for _, r := range m.GetRecords() {
		at := time.UnixMilli(r.GetUnixMillis()).UTC().Format(time.RFC3339)
		fmt.Fprintf(stdout, "revision %d, %s, operator %q, change %s\n", r.GetRevision(), at, r.GetOperator(), r.GetChangeId())
		for _, v := range r.GetChanges() {
			fmt.Fprintf(stdout, "  %s: %q -> %q\n", v.GetPath(), short(v.GetBefore()), short(v.GetAfter()))
		}
	}
}

// short returns the beginning of a long text.
func short(text string) string {
	if len(text) <= maxValueText {
		return text
	}
	return text[:maxValueText] + "…"
}

func rollbackCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &change{}
	var revision string
	return &command{
		name:     "rollback",
		doc:      "Puts the inventory of an earlier revision in force, as a new revision.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&revision, "revision", 1, true, "Revision whose inventory is wanted.")
			a.bindChange(sub)
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := inventoryOf(ctx, c, revision)
				if err != nil {
					return err
				}
				expected := max(reply.GetInForce(), reply.GetRevision())
				return a.propose(ctx, c, m.GetOperator(), expected, reply.GetInventory(), stdout)
			})
		},
	}
}

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
		doc:      "Prints the inventory in force and its revision; the apply command accepts the edited output.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.String(&revision, "", "revision", "Earlier revision to print.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := fetchInventory(ctx, c, revision)
				if err != nil {
					return err
				}
				return printReply(stdout, reply)
			})
		},
	}
}

// fetchInventory returns the inventory of a revision, or the one in force if the text is empty; an invalid text returns
// *RevisionError.
func fetchInventory(ctx context.Context, c *operator.Client, revision string) (*wiregen.InventoryReply, error) {
	if revision == "" {
		return c.Inventory(ctx)
	}
	n, err := strconv.ParseInt(revision, 10, 64)
	if err != nil || n <= 0 {
		return nil, &RevisionError{Text: revision}
	}
	return c.InventoryAt(ctx, n)
}

// defaultChanges is the default number of changes that the history command prints.
const defaultChanges = 20

func historyCommand() *command {
	m := &wiregen.OperatorSettings{}
	count := defaultChanges
	return &command{
		name:     "history",
		doc:      "Prints the newest accepted changes with their time, operator and changed values.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.Int(&count, "", "count", "Maximum number of changes to print.")
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

// maxValueBytes is the maximum length of a printed value.
const maxValueBytes = 200

func writeHistory(stdout io.Writer, m *wiregen.HistoryReply) {
	for _, r := range m.GetRecords() {
		at := time.UnixMilli(r.GetUnixMillis()).UTC().Format(time.RFC3339)
		fmt.Fprintf(stdout, "revision %d, %s, operator %q, change %s\n", r.GetRevision(), at, r.GetOperator(), r.GetChangeId())
		for _, v := range r.GetChanges() {
			fmt.Fprintf(stdout, "  %s: %q -> %q\n", v.GetPath(), truncate(v.GetBefore()), truncate(v.GetAfter()))
		}
	}
}

// truncate returns the text, cut to maxValueBytes with an ellipsis if it is longer.
func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return text[:maxValueBytes] + "…"
}

func rollbackCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &changeOptions{}
	var revision string
	return &command{
		name:     "rollback",
		doc:      "Restores the inventory of an earlier revision as a new revision.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&revision, "revision", 1, true, "Revision to restore.")
			a.bindChange(sub)
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := fetchInventory(ctx, c, revision)
				if err != nil {
					return err
				}
				expected := max(reply.GetInForce(), reply.GetRevision())
				return a.propose(ctx, c, m.GetOperator(), expected, reply.GetInventory(), stdout)
			})
		},
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/operator"
	"arbutusreel/wiregen"
)

func statusCommand() *command {
	m := &wiregen.OperatorSettings{}
	var table bool
	return &command{
		name:     "status",
		doc:      "Prints the leader, the quorum members and the revision in force at each instance.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.Bool(&table, "", "table", "Prints tables instead of JSON.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := c.Status(ctx)
				if err != nil {
					return err
				}
				if table {
					return writeStatus(stdout, reply)
				}
				return printReply(stdout, reply)
			})
		},
	}
}

// columnGap is the minimum number of spaces between table columns.
const columnGap = 2

// writeStatus writes a table of the quorum members and one of the instances.
func writeStatus(stdout io.Writer, m *wiregen.StatusReply) error {
	source := "current"
	if !m.GetCurrent() {
		source = "may be stale"
	}
	fmt.Fprintf(stdout, "revision %d, leader %q, term %d, reported by %q (%s)\n\n", m.GetRevision(), m.GetLeader(), m.GetTerm(), m.GetName(), source)
	w := tabwriter.NewWriter(stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tADDRESS\tDISK\tVOTER")
	for _, member := range m.GetMembers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", member.GetName(), member.GetAddress(), member.GetDisk(), member.GetVoter())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(stdout)
	fmt.Fprintln(w, "INSTANCE\tREGION\tREVISION\tREPORTED\tLAGS\tLEDGER LOST WITH")
	for _, i := range m.GetInstances() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\t%s\t%s\n", i.GetName(), i.GetRegion(), i.GetRevision(), millis(i.GetAgeMillis()), lag(i), i.GetLedgerFatalDomain())
	}
	return w.Flush()
}

// lag returns the time since a revision newer than the instance's was accepted, or "no" if there is none.
func lag(i *wiregen.InstanceStatus) string {
	if i.GetLagMillis() == 0 {
		return "no"
	}
	return millis(i.GetLagMillis()).String()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

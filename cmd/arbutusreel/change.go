package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"arbutusreel/operator"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// inventoryFile is an inventory and, if the file is what the get command printed, the revision it was made from.
type inventoryFile struct {
	inventory *wiregen.Inventory
	revision  int64
}

// readInventory reads and checks an inventory.
func readInventory(file string) (inventoryFile, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return inventoryFile{}, err
	}
	f := inventoryFile{inventory: &wiregen.Inventory{}}
	if err := wire.DecodeJSON(b, f.inventory); err != nil {
		reply := &wiregen.InventoryReply{}
		if wire.DecodeJSON(b, reply) != nil {
			return f, err
		}
		f = inventoryFile{inventory: reply.GetInventory(), revision: reply.GetRevision()}
	}
	_, err = wire.DecodeInventory(f.inventory)
	return f, err
}

// change is the arguments of the commands that compare or replace the inventory.
type change struct {
	file     string
	expected string
	changeID string
	wait     bool
}

func (a *change) bindFile(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&a.file, "file", 1, true, "File with the inventory in JSON, or what the get command printed.")
}

func (a *change) bindChange(sub *flaggy.Subcommand) {
	sub.String(&a.changeID, "", "changeId", "Id of the change, by which a resend is known; without it a random one.")
	sub.Bool(&a.wait, "", "wait", "Waits until the revision is in force at every live instance.")
}

func applyCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &change{}
	return &command{
		name:     "apply",
		doc:      "Replaces the inventory if the expected revision is in force.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			a.bindFile(sub)
			sub.String(&a.expected, "", "expected", "Revision that must be in force; without it that of the file, or the present one.")
			a.bindChange(sub)
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			f, err := readInventory(a.file)
			if err != nil {
				return err
			}
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				return a.apply(ctx, c, m.GetOperator(), f, stdout)
			})
		},
	}
}

func (a *change) apply(ctx context.Context, c *operator.Client, by string, f inventoryFile, stdout io.Writer) error {
	revision, err := a.expectedRevision(ctx, c, f)
	if err != nil {
		return err
	}
	return a.propose(ctx, c, by, revision, f.inventory, stdout)
}

// propose proposes an inventory in the name of an operator, if the expected revision is in force.
func (a *change) propose(ctx context.Context, c *operator.Client, by string, expected int64, inv *wiregen.Inventory, stdout io.Writer) error {
	a.identify()
	reply, err := c.Apply(ctx, &wiregen.ApplyRequest{ExpectedRevision: expected, ChangeId: a.changeID, Inventory: inv, Operator: by})
	if err != nil {
		return err
	}
	return a.report(ctx, c, reply, stdout)
}

// report prints an accepted change, and waits until it is in force if that is asked for.
func (a *change) report(ctx context.Context, c *operator.Client, reply *wiregen.ApplyReply, stdout io.Writer) error {
	fmt.Fprintf(stdout, "revision %d accepted, change %s\n", reply.GetRevision(), a.changeID)
	if !a.wait {
		return nil
	}
	n, err := c.WaitInForce(ctx, reply.GetRevision())
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "revision %d in force at %d instances\n", reply.GetRevision(), n)
	return nil
}

// identify gives the change an id if it has none.
func (a *change) identify() {
	if a.changeID == "" {
		a.changeID = rand.Text()
	}
}

// expectedRevision returns the revision that must be in force: the one of the flag, of the file, or the present one.
func (a *change) expectedRevision(ctx context.Context, c *operator.Client, f inventoryFile) (int64, error) {
	if a.expected == "" && f.revision > 0 {
		return f.revision, nil
	}
	if a.expected == "" {
		reply, err := c.Inventory(ctx)
		return reply.GetRevision(), err
	}
	return a.flagRevision()
}

// flagRevision returns the revision of the flag, or zero without one.
func (a *change) flagRevision() (int64, error) {
	if a.expected == "" {
		return 0, nil
	}
	revision, err := strconv.ParseInt(a.expected, 10, 64)
	if err != nil {
		return 0, &RevisionTextError{Text: a.expected}
	}
	return revision, nil
}

func diffCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &change{}
	return &command{
		name:     "diff",
		doc:      "Prints what a file would change in the inventory in force.",
		settings: m,
		bind:     a.bindFile,
		run: func(ctx context.Context, stdout io.Writer) error {
			f, err := readInventory(a.file)
			if err != nil {
				return err
			}
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				return printDifferences(ctx, c, f, stdout)
			})
		},
	}
}

func printDifferences(ctx context.Context, c *operator.Client, f inventoryFile, stdout io.Writer) error {
	reply, err := c.Inventory(ctx)
	if err != nil {
		return err
	}
	if f.revision > 0 && f.revision != reply.GetRevision() {
		fmt.Fprintf(stdout, "the file was made from revision %d; revision %d is in force\n", f.revision, reply.GetRevision())
	}
	inForce := reply.GetInventory()
	if inForce == nil {
		inForce = &wiregen.Inventory{}
	}
	for _, d := range wire.Differences(inForce, f.inventory) {
		fmt.Fprintf(stdout, "%s: %q -> %q\n", d.Path, d.Before, d.After)
	}
	return nil
}

func checkCommand() *command {
	a := &change{}
	return &command{
		name: "check",
		doc:  "Checks an inventory without applying it.",
		bind: a.bindFile,
		run: func(_ context.Context, stdout io.Writer) error {
			if _, err := readInventory(a.file); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: valid\n", a.file)
			return nil
		},
	}
}

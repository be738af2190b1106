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

// inventoryFile is an inventory and the revision that it is based on, which is set only if the file is the output of the
// get command.
type inventoryFile struct {
	inventory *wiregen.Inventory
	revision  int64
}

// readInventory reads and validates an inventory file.
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

// changeOptions holds the arguments of the commands that validate, compare or change the inventory.
type changeOptions struct {
	file     string
	expected string
	changeID string
	wait     bool
}

func (a *changeOptions) bindFile(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&a.file, "file", 1, true, "File with the inventory in JSON, or with the output of the get command.")
}

func (a *changeOptions) bindChange(sub *flaggy.Subcommand) {
	sub.String(&a.changeID, "", "changeId", "Id of the change, by which a retry is recognized; random by default.")
	sub.Bool(&a.wait, "", "wait", "Waits until the revision is in force at every live instance.")
}

func applyCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &changeOptions{}
	return &command{
		name:     "apply",
		doc:      "Replaces the inventory if the expected revision is in force.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			a.bindFile(sub)
			sub.String(&a.expected, "", "expected", "Revision that must be in force; by default that of the file, or else the current one.")
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

func (a *changeOptions) apply(ctx context.Context, c *operator.Client, by string, f inventoryFile, stdout io.Writer) error {
	revision, err := a.expectedRevision(ctx, c, f)
	if err != nil {
		return err
	}
	return a.propose(ctx, c, by, revision, f.inventory, stdout)
}

// propose submits an inventory on behalf of an operator. It is accepted only if the expected revision is in force.
func (a *changeOptions) propose(ctx context.Context, c *operator.Client, by string, expected int64, inv *wiregen.Inventory, stdout io.Writer) error {
	a.ensureChangeID()
	reply, err := c.Apply(ctx, &wiregen.ApplyRequest{ExpectedRevision: expected, ChangeId: a.changeID, Inventory: inv, Operator: by})
	if err != nil {
		return err
	}
	return a.printAccepted(ctx, c, reply, stdout)
}

// printAccepted prints an accepted change and, if the wait flag is set, waits until it is in force at every live
// instance.
func (a *changeOptions) printAccepted(ctx context.Context, c *operator.Client, reply *wiregen.ApplyReply, stdout io.Writer) error {
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

// ensureChangeID sets a random change id if none is given.
func (a *changeOptions) ensureChangeID() {
	if a.changeID == "" {
		a.changeID = rand.Text()
	}
}

// expectedRevision returns the revision that must be in force: that of the flag, else of the file, else the current
// one.
func (a *changeOptions) expectedRevision(ctx context.Context, c *operator.Client, f inventoryFile) (int64, error) {
	if a.expected == "" && f.revision > 0 {
		return f.revision, nil
	}
	if a.expected == "" {
		reply, err := c.Inventory(ctx)
		return reply.GetRevision(), err
	}
	return a.flagRevision()
}

// flagRevision returns the revision given by the flag, or zero if there is none.
func (a *changeOptions) flagRevision() (int64, error) {
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
	a := &changeOptions{}
	return &command{
		name:     "diff",
		doc:      "Prints the differences between the inventory in force and a file.",
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
		fmt.Fprintf(stdout, "the file is based on revision %d; revision %d is in force\n", f.revision, reply.GetRevision())
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
	a := &changeOptions{}
	return &command{
		name: "check",
		doc:  "Validates an inventory without applying it.",
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

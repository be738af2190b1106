package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"arbutusreel/operator"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// patchArguments holds the arguments of the patch command.
type patchArguments struct {
	changeOptions
	remove string
}

func patchCommand() *command {
	m := &wiregen.OperatorSettings{}
	a := &patchArguments{}
	return &command{
		name:     "patch",
		doc:      "Changes parts of the inventory in force and leaves the rest unchanged.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&a.file, "file", 1, false, "File with a partial inventory: items to add or to replace by name, and rules to replace.")
			sub.String(&a.remove, "", "remove", "Items to remove, for example teams[lahore-club],links[lahore-karachi].")
			sub.String(&a.expected, "", "expected", "Revision that must be in force; any by default.")
			a.bindChange(sub)
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			request, err := a.request()
			if err != nil {
				return err
			}
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				request.Operator = m.GetOperator()
				reply, err := c.Patch(ctx, request)
				if err != nil {
					return err
				}
				return a.printAccepted(ctx, c, reply, stdout)
			})
		},
	}
}

// request returns the patch request. The leader validates the patched inventory.
func (a *patchArguments) request() (*wiregen.PatchRequest, error) {
	if a.file == "" && a.remove == "" {
		return nil, &EmptyPatchError{}
	}
	revision, err := a.flagRevision()
	if err != nil {
		return nil, err
	}
	a.ensureChangeID()
	request := &wiregen.PatchRequest{ChangeId: a.changeID, ExpectedRevision: revision}
	if a.remove != "" {
		request.Remove = strings.Split(a.remove, ",")
	}
	if a.file == "" {
		return request, nil
	}
	b, err := os.ReadFile(a.file)
	if err != nil {
		return nil, err
	}
	request.Put = &wiregen.Inventory{}
	return request, wire.DecodeJSON(b, request.Put)
}

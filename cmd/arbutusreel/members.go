package main

import (
	"context"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"arbutusreel/operator"
	"arbutusreel/wiregen"
)

func membersCommand() *command {
	m := &wiregen.OperatorSettings{}
	var action, member string
	return &command{
		name:     "members",
		doc:      "Lists, adds or removes members of the control quorum.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&action, "action", 1, false, "Action: list, add or remove; list by default.")
			sub.AddPositionalValue(&member, "member", 2, false, "Member: name=address to add, name to remove.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := members(ctx, c, action, member)
				if err != nil {
					return err
				}
				return printReply(stdout, reply)
			})
		},
	}
}

func members(ctx context.Context, c *operator.Client, action, member string) (*wiregen.MembersReply, error) {
	name, address, ok := strings.Cut(member, "=")
	switch {
	case action == "" || action == "list":
		return c.Members(ctx)
	case action == "add" && ok:
		return c.AddMember(ctx, name, address)
	case action == "remove" && name != "" && !ok:
		return c.RemoveMember(ctx, name)
	default:
		return nil, &MembersActionError{Action: action, Member: member}
	}
}

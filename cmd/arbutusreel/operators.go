package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/proto"

	"arbutusreel/keys"
	"arbutusreel/operator"
	"arbutusreel/settings"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// RevisionTextError says that the text of an expected revision is no number.
type RevisionTextError struct {
	Text string
}

// Error names the text.
func (e *RevisionTextError) Error() string {
	return fmt.Sprintf("flag %q: revision %q is not a whole number", "expected", e.Text)
}

// MembersActionError says that the arguments of the members command do not fit together.
type MembersActionError struct {
	Action string
	Member string
}

// Error names the arguments.
func (e *MembersActionError) Error() string {
	return fmt.Sprintf("members %q %q: want list, add name=address, or remove name", e.Action, e.Member)
}

// withClient runs f with a client of the control voters, within the timeout.
func withClient(ctx context.Context, m *wiregen.OperatorSettings, f func(context.Context, *operator.Client) error) error {
	token, err := readToken(m.GetTokenFile())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.GetTimeout().AsDuration())
	defer cancel()
	c := operator.New(m.GetControls(), token, http.DefaultClient)
	source, err := keys.New(keys.Files{Authority: m.GetTlsAuthorityFile()}, time.Now, func(error) {})
	if err != nil {
		return err
	}
	if cfg := source.HTTPClient(); cfg != nil {
		c = c.WithTLS(cfg)
	}
	return f(ctx, c)
}

func readToken(file string) (string, error) {
	if file == "" {
		return os.Getenv("ARBUTUSREEL_TOKEN"), nil
	}
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), err
}

func readInventory(file string) (*wiregen.Inventory, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	m := &wiregen.Inventory{}
	if err := wire.DecodeJSON(b, m); err != nil {
		return nil, err
	}
	_, err = wire.DecodeInventory(m)
	return m, err
}

func applyCommand() *command {
	m := &wiregen.OperatorSettings{}
	var file, expected, changeID string
	return &command{
		name:     "apply",
		doc:      "Replaces the inventory if the expected revision is in force.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "file", 1, true, "File with the inventory, in JSON.")
			sub.String(&expected, "", "expected", "Revision that must be in force; without it the present one.")
			sub.String(&changeID, "", "changeId", "Id of the change, by which a resend is known; without it a random one.")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			inv, err := readInventory(file)
			if err != nil {
				return err
			}
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				return apply(ctx, c, inv, expected, changeID, stdout)
			})
		},
	}
}

func apply(ctx context.Context, c *operator.Client, inv *wiregen.Inventory, expected, changeID string, stdout io.Writer) error {
	revision, err := expectedRevision(ctx, c, expected)
	if err != nil {
		return err
	}
	if changeID == "" {
		changeID = rand.Text()
	}
	reply, err := c.Apply(ctx, &wiregen.ApplyRequest{ExpectedRevision: revision, ChangeId: changeID, Inventory: inv})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "revision %d accepted, change %s\n", reply.GetRevision(), changeID)
	return nil
}

func expectedRevision(ctx context.Context, c *operator.Client, expected string) (int64, error) {
	if expected == "" {
		reply, err := c.Inventory(ctx)
		return reply.GetRevision(), err
	}
	revision, err := strconv.ParseInt(expected, 10, 64)
	if err != nil {
		return 0, &RevisionTextError{Text: expected}
	}
	return revision, nil
}

// printReply prints an answer as JSON.
func printReply(stdout io.Writer, reply proto.Message) error {
	b, err := wire.EncodeJSON(reply)
	if err != nil {
		return err
	}
	_, err = stdout.Write(b)
	return err
}

// printCommand returns a command that prints one answer of the control voters.
func printCommand(name, doc string, ask func(context.Context, *operator.Client) (proto.Message, error)) *command {
	m := &wiregen.OperatorSettings{}
	return &command{
		name:     name,
		doc:      doc,
		settings: m,
		run: func(ctx context.Context, stdout io.Writer) error {
			return withClient(ctx, m, func(ctx context.Context, c *operator.Client) error {
				reply, err := ask(ctx, c)
				if err != nil {
					return err
				}
				return printReply(stdout, reply)
			})
		},
	}
}

func getCommand() *command {
	return printCommand("get", "Prints the inventory in force.", func(ctx context.Context, c *operator.Client) (proto.Message, error) {
		return c.Inventory(ctx)
	})
}

func statusCommand() *command {
	return printCommand("status", "Prints the leader and the revision in force at each instance.", func(ctx context.Context, c *operator.Client) (proto.Message, error) {
		return c.Status(ctx)
	})
}

func membersCommand() *command {
	m := &wiregen.OperatorSettings{}
	var action, member string
	return &command{
		name:     "members",
		doc:      "Prints, adds or removes members of the control quorum.",
		settings: m,
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&action, "action", 1, false, "What to do: list, add or remove; without it list.")
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

func checkCommand() *command {
	var file string
	return &command{
		name: "check",
		doc:  "Checks an inventory without applying it.",
		bind: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "file", 1, true, "File with the inventory, in JSON.")
		},
		run: func(_ context.Context, stdout io.Writer) error {
			if _, err := readInventory(file); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: valid\n", file)
			return nil
		},
	}
}

func settingsCommand() *command {
	return &command{
		name: "settings",
		doc:  "Prints the page of all settings, in Markdown.",
		run:  func(_ context.Context, stdout io.Writer) error { return writeSettings(stdout) },
	}
}

func writeSettings(stdout io.Writer) error {
	fmt.Fprintln(stdout, "# Settings")
	fmt.Fprintln(stdout, "\nGenerated from schema/settings.proto by `make generate`. A flag goes before its environment variable.")
	pages := []struct {
		title string
		m     proto.Message
	}{
		{"arbutusreel entry", &wiregen.EntrySettings{}},
		{"arbutusreel control", &wiregen.ControlSettings{}},
		{"operators' commands", &wiregen.OperatorSettings{}},
		{"arbutusreel repair", &wiregen.RepairSettings{}},
	}
	for _, p := range pages {
		if err := settings.WritePage(stdout, p.title, p.m); err != nil {
			return err
		}
	}
	return nil
}

func versionCommand() *command {
	return &command{
		name: "version",
		doc:  "Prints the version.",
		run: func(_ context.Context, stdout io.Writer) error {
			_, err := fmt.Fprintln(stdout, "arbutusreel", version)
			return err
		},
	}
}

package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/proto"

	"arbutusreel/operator"
	"arbutusreel/wiregen"
)

// repairFlags holds the arguments of the repair command.
type repairFlags struct {
	action, team, key, finding, operator string
	outcomeFile, contentType             string
	status                               int
}

func (f *repairFlags) bind(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&f.action, "action", 1, true, "Action: list or settle.")
	sub.String(&f.team, "", "team", "Team of the call.")
	sub.String(&f.key, "", "key", "Idempotency key of the call.")
	sub.String(&f.finding, "", "finding", "What the investigation found: ran or notRun.")
	sub.String(&f.operator, "", "operator", "Name of the operator, which is stored with the call.")
	sub.String(&f.outcomeFile, "", "outcomeFile", "File with the response body of a call that ran, if it is known.")
	sub.String(&f.contentType, "", "contentType", "Content type of the response.")
	sub.Int(&f.status, "", "status", "HTTP status of the response.")
}

// settleRequest returns the request that settles a call; missing arguments return *RepairActionError.
func (f *repairFlags) settleRequest() (*wiregen.RepairRequest, error) {
	if f.team == "" || f.key == "" || f.finding == "" || f.operator == "" {
		return nil, &RepairActionError{Action: f.action}
	}
	m := &wiregen.RepairRequest{Team: f.team, Key: f.key, Finding: f.finding, Operator: f.operator}
	if f.outcomeFile == "" {
		return m, nil
	}
	body, err := os.ReadFile(f.outcomeFile)
	if err != nil {
		return nil, err
	}
	m.Outcome = &wiregen.LedgerOutcome{Status: int64(f.status), ContentType: f.contentType, Body: body}
	return m, nil
}

// repairCommand returns the command that lists and settles calls with an unknown outcome.
func repairCommand() *command {
	m := &wiregen.RepairSettings{}
	f := &repairFlags{status: 200}
	return &command{
		name:     "repair",
		doc:      "Lists the calls of a region whose outcome is unknown, or settles one: repair list, or repair settle.",
		settings: m,
		bind:     f.bind,
		run: func(ctx context.Context, stdout io.Writer) error {
			server := &wiregen.OperatorSettings{
				Controls:         m.GetEntries(),
				TokenFile:        m.GetTokenFile(),
				Timeout:          m.GetTimeout(),
				TlsAuthorityFile: m.GetTlsAuthorityFile(),
			}
			return withClient(ctx, server, func(ctx context.Context, c *operator.Client) error {
				return f.run(ctx, c, stdout)
			})
		},
	}
}

func (f *repairFlags) run(ctx context.Context, c *operator.Client, stdout io.Writer) error {
	reply, err := f.send(ctx, c)
	if err != nil {
		return err
	}
	return printReply(stdout, reply)
}

func (f *repairFlags) send(ctx context.Context, c *operator.Client) (proto.Message, error) {
	switch f.action {
	case "list":
		return c.Doubtful(ctx)
	case "settle":
		m, err := f.settleRequest()
		if err != nil {
			return nil, err
		}
		return c.Settle(ctx, m)
	default:
		return nil, &RepairActionError{Action: f.action}
	}
}

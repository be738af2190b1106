package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/explanation"
	"arbutusreel/operator"
	"arbutusreel/problem"
	"arbutusreel/settings"
	"arbutusreel/wiregen"
)

const (
	// wherePath is the path of the explanations at a gateway's debug listener.
	wherePath = "/debug/where"
	// whereTimeout bounds the wait for an answer of a gateway.
	whereTimeout = 10 * time.Second
	// maxWhereBytes bounds an answer.
	maxWhereBytes = 16 << 20
)

// whereArguments holds the arguments of the where command.
type whereArguments struct {
	gateway string
	// texts holds the parameters of the question by name.
	texts    map[string]*string
	returned bool
	json     bool
	// entry holds the settings for asking an entry, of which flags are the texts; they are loaded only then.
	entry *wiregen.RepairSettings
	flags settings.Flags
}

func whereCommand() *command {
	a := &whereArguments{texts: map[string]*string{}, entry: &wiregen.RepairSettings{}}
	return &command{
		name:  "where",
		doc:   "Explains where a request would go now, and why, without sending it: of a gateway with --gateway, else of an entry.",
		bind:  a.bind,
		check: a.check,
		run: func(ctx context.Context, stdout io.Writer) error {
			if a.gateway == "" {
				return a.explainEntry(ctx, stdout)
			}
			e, err := a.askGateway(ctx)
			if err != nil {
				return err
			}
			if a.json {
				return printJSON(stdout, e, explanation.Encode)
			}
			return explanation.WriteTable(stdout, e)
		},
	}
}

// check loads the settings for asking an entry if no gateway is given.
func (a *whereArguments) check() error {
	if a.gateway != "" {
		return nil
	}
	return settings.Load(a.entry, a.flags, os.Getenv)
}

func (a *whereArguments) bind(sub *flaggy.Subcommand) {
	a.flags = settings.Bind(binder{sub: sub}, a.entry)
	sub.String(&a.gateway, "", "gateway", "Address of a gateway's debug listener.")
	for _, p := range []struct{ name, doc string }{
		{"route", "Name of the route, in place of host and path."},
		{"host", "Host of the request."},
		{"path", "Path of the request; / by default."},
		{"model", "Model or adapter, at an entry."},
		{"service", "Service of the route, by default the one with the greatest weight; or a plain service, at an entry."},
		{"team", "Name of the caller's team."},
		{"class", "Class of the request, at an entry; by default that of the team."},
		{"promptTokens", "Number of prompt tokens."},
		{"maxOutputTokens", "Largest number of output tokens."},
		{"hint", "Estimated number of output tokens; none by default."},
		{"parts", "Parts of the prompt, ID:TOKENS,..., the one that is not shared last."},
		{"bodyBytes", "Size of the body."},
		{"timeLeft", "Time that the caller has left; the route's timeout by default."},
	} {
		text := new(string)
		a.texts[p.name] = text
		sub.String(text, "", p.name, p.doc)
	}
	sub.Bool(&a.returned, "", "returned", "The caller was refused before.")
	sub.Bool(&a.json, "", "json", "Prints JSON instead of tables.")
}

// values returns the parameters that are given.
func (a *whereArguments) values() url.Values {
	v := url.Values{}
	for name, text := range a.texts {
		if *text != "" {
			v.Set(name, *text)
		}
	}
	if a.returned {
		v.Set("returned", "true")
	}
	return v
}

// askGateway returns the explanation of a platform gateway. A malformed argument returns *explanation.ParameterError, a refusal
// *problem.Problem, another answer *explanation.AnswerError.
func (a *whereArguments) askGateway(ctx context.Context) (*explanation.Explanation, error) {
	q, err := explanation.ParseQuestion(a.values())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: a.gateway, Path: wherePath, RawQuery: q.Values().Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	answer, err := newHTTPClient().Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxWhereBytes))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		if p, ok := problem.Decode(b); ok {
			return nil, p
		}
		return nil, &explanation.AnswerError{Cause: &StatusError{Status: answer.StatusCode}}
	}
	return explanation.Decode(b)
}

// explainEntry prints the explanation of an entry.
func (a *whereArguments) explainEntry(ctx context.Context, stdout io.Writer) error {
	q, err := explanation.ParseEntryQuestion(a.values())
	if err != nil {
		return err
	}
	server := &wiregen.OperatorSettings{
		Controls: a.entry.GetEntries(), TokenFile: a.entry.GetTokenFile(), Timeout: a.entry.GetTimeout(), TlsAuthorityFile: a.entry.GetTlsAuthorityFile(),
	}
	return withClient(ctx, server, func(ctx context.Context, c *operator.Client) error {
		e, err := c.Where(ctx, q)
		if err != nil {
			return err
		}
		if a.json {
			return printJSON(stdout, e, explanation.EncodeEntry)
		}
		return explanation.WriteEntryTable(stdout, e)
	})
}

// printJSON writes an explanation as JSON.
func printJSON[T any](stdout io.Writer, e *T, encode func(*T) ([]byte, error)) error {
	b, err := encode(e)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s\n", b)
	return err
}

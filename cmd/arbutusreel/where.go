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
	gateway      string
	question     explanation.Question
	parts        string
	model, class string
	json         bool
	// entry holds the settings for asking an entry, of which flags are the texts; they are loaded only then.
	entry *wiregen.RepairSettings
	flags settings.Flags
}

func whereCommand() *command {
	a := &whereArguments{entry: &wiregen.RepairSettings{}}
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
	q := &a.question
	a.flags = settings.Bind(binder{sub: sub}, a.entry)
	sub.String(&a.gateway, "", "gateway", "Address of a gateway's debug listener.")
	sub.String(&a.model, "", "model", "Model or adapter, at an entry.")
	sub.String(&a.class, "", "class", "Class of the request, at an entry; by default that of the team.")
	sub.String(&q.Route, "", "route", "Name of the route, in place of host and path.")
	sub.String(&q.Host, "", "host", "Host of the request.")
	sub.String(&q.Path, "", "path", "Path of the request; / by default.")
	sub.String(&q.Service, "", "service", "Service of the route, by default the one with the greatest weight; or a plain service, at an entry.")
	sub.String(&q.Team, "", "team", "Name of the caller's team.")
	sub.Int64(&q.PromptTokens, "", "promptTokens", "Number of prompt tokens.")
	sub.Int64(&q.MaxOutputTokens, "", "maxOutputTokens", "Largest number of output tokens.")
	sub.Int64(&q.Hint, "", "hint", "Estimated number of output tokens; none by default.")
	sub.String(&a.parts, "", "parts", "Parts of the prompt, ID:TOKENS,..., the one that is not shared last.")
	sub.Int64(&q.BodyBytes, "", "bodyBytes", "Size of the body.")
	sub.Duration(&q.TimeLeft, "", "timeLeft", "Time that the caller has left; the route's timeout by default.")
	sub.Bool(&q.Returned, "", "returned", "The caller was refused before.")
	sub.Bool(&a.json, "", "json", "Prints JSON instead of tables.")
}

// askGateway returns the explanation of a platform gateway. A malformed argument returns *explanation.ParameterError, a refusal
// *problem.Problem, another answer *explanation.AnswerError.
func (a *whereArguments) askGateway(ctx context.Context) (*explanation.Explanation, error) {
	parts, err := explanation.ParseParts(a.parts)
	if err != nil {
		return nil, err
	}
	a.question.Parts = parts
	values := a.question.Values()
	if _, err := explanation.ParseQuestion(values); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: a.gateway, Path: wherePath, RawQuery: values.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(r)
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
	q := explanation.EntryQuestion{
		Model: a.model, Service: a.question.Service, Team: a.question.Team, Class: a.class,
		PromptTokens: a.question.PromptTokens, MaxOutputTokens: a.question.MaxOutputTokens,
	}
	if _, err := explanation.ParseEntryQuestion(q.Values()); err != nil {
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

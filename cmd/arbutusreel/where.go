package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/explanation"
	"arbutusreel/problem"
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
	gateway  string
	question explanation.Question
	parts    string
	json     bool
}

func whereCommand() *command {
	a := &whereArguments{}
	return &command{
		name: "where",
		doc:  "Explains where a request would go now, and why, without sending it.",
		bind: a.bind,
		run: func(ctx context.Context, stdout io.Writer) error {
			e, err := a.askGateway(ctx)
			if err != nil {
				return err
			}
			return a.print(stdout, e)
		},
	}
}

func (a *whereArguments) bind(sub *flaggy.Subcommand) {
	q := &a.question
	sub.String(&a.gateway, "", "gateway", "Address of a gateway's debug listener.")
	sub.String(&q.Route, "", "route", "Name of the route, in place of host and path.")
	sub.String(&q.Host, "", "host", "Host of the request.")
	sub.String(&q.Path, "", "path", "Path of the request; / by default.")
	sub.String(&q.Service, "", "service", "Service of the route; by default the one with the greatest weight.")
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
	if a.gateway == "" {
		return nil, &explanation.ParameterError{Name: "gateway", Reason: "is missing"}
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

// print prints the explanation as tables, or as JSON.
func (a *whereArguments) print(stdout io.Writer, e *explanation.Explanation) error {
	if !a.json {
		return explanation.WriteTable(stdout, e)
	}
	b, err := explanation.Encode(e)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s\n", b)
	return err
}

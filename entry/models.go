package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

// statusCallerGone is the status in the log of a request whose caller has closed its connection; nobody receives it.
const statusCallerGone = 499

// modelItem is one model of the list on the wire.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// listModels answers the models of the inventory.
func (n *Entry) listModels(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range c.inventory.OfferedNames() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (n *Entry) chat(w http.ResponseWriter, r *http.Request, c caller) {
	n.complete(w, r, c, completion.Chat)
}

func (n *Entry) text(w http.ResponseWriter, r *http.Request, c caller) {
	n.complete(w, r, c, completion.Text)
}

// complete answers a completion, streamed or whole.
func (n *Entry) complete(w http.ResponseWriter, r *http.Request, c caller, kind completion.Kind) {
	began := time.Now()
	class, held, err := n.hold(c, r)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	defer held.release()
	req, asked, err := n.modelRequest(w, r, c, class, kind)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	held.settle(int64(len(req.Body)))
	n.demands.arrive(c.inventory, req)
	answer := completion.Answer{Kind: kind, ID: c.correlationID, Model: asked.Model}
	sink := newWriter(r.Context(), w, answer, asked.Streaming, n.cfg.ReaderTimeout)
	defer sink.stop()
	t := &timing{began: began}
	sink.first = func() { t.note(&t.first) }
	sink.written = func() { n.countAdded(t) }
	ctx, cancel := context.WithDeadline(withTiming(sink.ctx, t), req.Deadline)
	defer cancel()
	end, err := n.dispatcher.Generate(ctx, req, sink)
	if err == nil {
		err = sink.finish(end)
	}
	if err != nil {
		n.failStream(w, c, sink, err)
		return
	}
	n.metrics.Count(answeredCode)
	n.metrics.Tokens(end.Pieces)
	n.demands.answered(asked.Model, end.Pieces)
	n.log.Info().
		Str("correlationId", c.correlationID).
		Str("team", c.team.Name).
		Str("class", req.Class).
		Str("model", asked.Model).
		Int("tokens", end.Pieces).
		Dur("duration", time.Since(began)).
		Msg("answered")
}

// countAdded notes the time that the entry added to the first token of an answer from its own region.
func (n *Entry) countAdded(t *timing) {
	if d, ok := t.added(time.Now()); ok {
		n.metrics.Added(d)
	}
}

// modelRequest checks a caller's completion request.
func (n *Entry) modelRequest(w http.ResponseWriter, r *http.Request, c caller, class inventory.Class, kind completion.Kind) (dispatch.Request, completion.Request, error) {
	labels, err := n.arrivalLabels(c, r)
	if err != nil {
		return dispatch.Request{}, completion.Request{}, err
	}
	body, err := n.body(w, r)
	if err != nil {
		return dispatch.Request{}, completion.Request{}, err
	}
	asked, err := completion.Decode(kind, body)
	if err != nil {
		return dispatch.Request{}, asked, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	if _, err := c.inventory.Resolve(asked.Model); err != nil {
		return dispatch.Request{}, asked, problem.New(problem.UnknownModel, http.StatusNotFound, "%s", err.Error())
	}
	services := c.inventory.ServicesOfModel(asked.Model)
	if len(services) == 0 {
		return dispatch.Request{}, asked, problem.New(problem.UnknownModel, http.StatusNotFound, "no service offers the model %q", asked.Model)
	}
	return dispatch.Request{
		CorrelationID: c.correlationID,
		Team:          c.team.Name,
		Class:         class.Name,
		Priority:      class.Priority,
		Labels:        labels,
		Service:       services[0],
		Model:         asked.Model,
		Method:        http.MethodPost,
		Path:          r.URL.Path,
		ContentType:   "application/json",
		Prefixes:      completion.PrefixHashes(asked.Prompt),
		Body:          body,
		Streaming:     asked.Streaming,
		PromptTokens:  asked.PromptTokens,
		MaxTokens:     asked.MaxTokens,
		Deadline:      time.Now().Add(class.Patience),
	}, asked, nil
}

// failStream answers a failure: as a problem if nothing was sent yet, else as the stream's last event.
func (n *Entry) failStream(w http.ResponseWriter, c caller, sink *writer, err error) {
	if cause := sink.cause(); cause != nil {
		err = cause
	}
	p := n.streamProblem(err)
	n.logFailure(c, p, err)
	if !sink.started() {
		problem.Write(w, p, c.correlationID)
		return
	}
	sink.fail(p, c.correlationID)
}

// streamProblem returns the problem of a failed answer.
func (n *Entry) streamProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	var stopped *ReaderStoppedError
	if errors.As(err, &stopped) {
		return problem.New(problem.ReaderStopped, http.StatusRequestTimeout, "%s", stopped.Error()).WithOutcome(problem.Unknown)
	}
	if errors.Is(err, context.Canceled) {
		return problem.New(problem.CallerGone, statusCallerGone, "the caller has closed its connection").WithOutcome(problem.Unknown)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return problem.New(problem.PatienceExceeded, http.StatusGatewayTimeout, "the patience of the class has passed").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	var incomplete *stream.IncompleteError
	if errors.As(err, &incomplete) {
		return problem.New(problem.AnswerIncomplete, http.StatusBadGateway, "the answer stopped after %d pieces", incomplete.Pieces).WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	return problem.New(problem.EndpointFailed, http.StatusBadGateway, "no endpoint answered").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
}

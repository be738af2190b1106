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

// statusCallerGone is the status logged when the caller has closed its connection; it is never sent.
const statusCallerGone = 499

// modelItem is one model in the JSON list of models.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// listModels replies with the models that the inventory offers.
func (n *Entry) listModels(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range c.inventory.OfferedNames() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (n *Entry) serveChat(w http.ResponseWriter, r *http.Request, c caller) {
	n.complete(w, r, c, completion.Chat)
}

func (n *Entry) serveText(w http.ResponseWriter, r *http.Request, c caller) {
	n.complete(w, r, c, completion.Text)
}

// complete serves a completion request, streamed or not.
func (n *Entry) complete(w http.ResponseWriter, r *http.Request, c caller, kind completion.Kind) {
	began := time.Now()
	class, reserved, err := n.reserveRequest(c, r)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	defer reserved.release()
	req, parsed, err := n.modelRequest(w, r, c, class, kind)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	reserved.shrink(int64(len(req.Body)))
	n.demands.countRequest(c.inventory, req)
	answer := completion.Answer{Kind: kind, ID: c.correlationID, Model: parsed.Model}
	sink := newWriter(r.Context(), w, answer, parsed.Streaming, n.cfg.ReaderTimeout)
	defer sink.stop()
	t := &timing{began: began}
	sink.onFirstPiece = func() { t.record(&t.first) }
	sink.onFirstWrite = func() { n.recordAddedLatency(t) }
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
	n.demands.recordAnswer(parsed.Model, end.Pieces)
	n.log.Info().
		Str("correlationId", c.correlationID).
		Str("team", c.team.Name).
		Str("class", req.Class).
		Str("model", parsed.Model).
		Int("tokens", end.Pieces).
		Dur("duration", time.Since(began)).
		Msg("answered")
}

// recordAddedLatency records the latency that the entry added to the first token, if the answer came from an engine of
// its own region.
func (n *Entry) recordAddedLatency(t *timing) {
	if d, ok := t.addedLatency(time.Now()); ok {
		n.metrics.ObserveAddedLatency(d)
	}
}

// modelRequest reads and validates a caller's completion request.
func (n *Entry) modelRequest(w http.ResponseWriter, r *http.Request, c caller, class inventory.Class, kind completion.Kind) (dispatch.Request, completion.Request, error) {
	labels, err := n.allowedLabels(c, r)
	if err != nil {
		return dispatch.Request{}, completion.Request{}, err
	}
	body, err := n.readBody(w, r)
	if err != nil {
		return dispatch.Request{}, completion.Request{}, err
	}
	parsed, err := completion.Decode(kind, body)
	if err != nil {
		return dispatch.Request{}, parsed, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	service, err := serviceOfModel(c.inventory, parsed.Model)
	if err != nil {
		return dispatch.Request{}, parsed, err
	}
	return dispatch.Request{
		CorrelationID: c.correlationID,
		Team:          c.team.Name,
		Class:         class.Name,
		Priority:      class.Priority,
		Labels:        labels,
		Service:       service,
		Model:         parsed.Model,
		Method:        http.MethodPost,
		Path:          r.URL.Path,
		ContentType:   "application/json",
		Prefixes:      completion.PrefixHashes(parsed.Prompt),
		Body:          body,
		Streaming:     parsed.Streaming,
		PromptTokens:  parsed.PromptTokens,
		MaxTokens:     parsed.MaxTokens,
		Deadline:      time.Now().Add(class.Patience),
	}, parsed, nil
}

// serviceOfModel returns the service that serves a model or adapter.
func serviceOfModel(inv *inventory.Inventory, name string) (string, error) {
	if _, err := inv.Resolve(name); err != nil {
		return "", problem.New(problem.UnknownModel, http.StatusNotFound, "%s", err.Error())
	}
	services := inv.ServicesOfModel(name)
	if len(services) == 0 {
		return "", problem.New(problem.UnknownModel, http.StatusNotFound, "no service offers the model %q", name)
	}
	return services[0], nil
}

// failStream reports a failure: as a problem if nothing has been sent yet, otherwise as the last event of the stream.
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

// streamProblem returns the problem that describes why an answer failed.
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
		return problem.New(problem.PatienceExceeded, http.StatusGatewayTimeout, "the patience of the request's class has run out").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	var incomplete *stream.IncompleteError
	if errors.As(err, &incomplete) {
		return problem.New(problem.AnswerIncomplete, http.StatusBadGateway, "the answer stopped after %d pieces", incomplete.Pieces).WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	return problem.New(problem.EndpointFailed, http.StatusBadGateway, "no endpoint answered").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
}

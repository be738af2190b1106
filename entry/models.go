package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

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
	for _, m := range c.inventory.Contents().Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model"})
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
	req, asked, err := n.modelRequest(w, r, c, kind)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	answer := completion.Answer{Kind: kind, ID: c.correlationID, Model: asked.Model}
	sink := newWriter(w, answer, asked.Streaming)
	end, err := n.dispatcher.Generate(ctx, req, sink)
	if err == nil {
		err = sink.finish(end)
	}
	if err != nil {
		n.failStream(w, c, sink, err)
		return
	}
	n.log.Info().
		Str("correlationId", c.correlationID).
		Str("team", c.team.Name).
		Str("class", req.Class).
		Str("model", asked.Model).
		Int("tokens", end.Pieces).
		Dur("duration", time.Since(began)).
		Msg("answered")
}

// modelRequest checks a caller's completion request.
func (n *Entry) modelRequest(w http.ResponseWriter, r *http.Request, c caller, kind completion.Kind) (dispatch.Request, completion.Request, error) {
	body, err := n.body(w, r)
	if err != nil {
		return dispatch.Request{}, completion.Request{}, err
	}
	asked, err := completion.Decode(kind, body)
	if err != nil {
		return dispatch.Request{}, asked, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	if _, ok := c.inventory.Model(asked.Model); !ok {
		return dispatch.Request{}, asked, problem.New(problem.UnknownModel, http.StatusNotFound, "no model has the name %q", asked.Model)
	}
	services := c.inventory.ServicesOfModel(asked.Model)
	if len(services) == 0 {
		return dispatch.Request{}, asked, problem.New(problem.UnknownModel, http.StatusNotFound, "no service offers the model %q", asked.Model)
	}
	class, err := c.class(r)
	if err != nil {
		return dispatch.Request{}, asked, err
	}
	labels, err := c.labels(r)
	if err != nil {
		return dispatch.Request{}, asked, err
	}
	return dispatch.Request{
		CorrelationID: c.correlationID,
		Team:          c.team.Name,
		Class:         class.Name,
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
	if errors.Is(err, context.DeadlineExceeded) {
		return problem.New(problem.PatienceExceeded, http.StatusGatewayTimeout, "the patience of the class has passed").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	var incomplete *stream.IncompleteError
	if errors.As(err, &incomplete) {
		return problem.New(problem.AnswerIncomplete, http.StatusBadGateway, "the answer stopped after %d pieces", incomplete.Pieces).WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
	}
	return problem.New(problem.EndpointFailed, http.StatusBadGateway, "no endpoint answered").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
}

// writer is the sink of one answer to a caller.
type writer struct {
	w         http.ResponseWriter
	answer    completion.Answer
	streaming bool
	sent      bool
	text      strings.Builder
}

var _ stream.Sink = (*writer)(nil)

func newWriter(w http.ResponseWriter, answer completion.Answer, streaming bool) *writer {
	return &writer{w: w, answer: answer, streaming: streaming}
}

func (s *writer) started() bool { return s.sent }

// Piece sends a piece of a streamed answer, or keeps it for a whole one.
func (s *writer) Piece(p stream.Piece) error {
	if !s.streaming {
		s.text.WriteString(p.Text)
		return nil
	}
	return s.event(s.answer.Chunk(p))
}

// event sends one server-sent event.
func (s *writer) event(data []byte) error {
	if !s.sent {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.sent = true
	}
	event := append(append([]byte("data: "), data...), '\n', '\n')
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish sends the end of the answer.
func (s *writer) finish(end stream.End) error {
	if s.streaming {
		if err := s.event(s.answer.End(end)); err != nil {
			return err
		}
		return s.event([]byte(completion.Done))
	}
	s.w.Header().Set("Content-Type", "application/json")
	_, err := s.w.Write(s.answer.Whole(s.text.String(), end))
	return err
}

// fail ends a streamed answer with its problem; no Done event follows.
func (s *writer) fail(p *problem.Problem, correlationID string) {
	_, _ = s.w.Write([]byte("event: error\n"))
	_ = s.event(problem.Encode(p, correlationID))
}

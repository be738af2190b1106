package standin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusreel/clock"
	"arbutusreel/completion"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

// EngineFaults make an engine misbehave; zero values do nothing.
type EngineFaults struct {
	// Die ends the process; it is called when the engine has sent DieAfterTokens tokens over all requests.
	Die            func()
	DieAfterTokens int
	// StallAfterTokens is the number of tokens of a stream after which it sends nothing more.
	StallAfterTokens int
	// RefuseShare is the share of requests, by their ids, that are refused as failed.
	RefuseShare float64
}

// job is one request that an engine runs.
type job struct {
	completion.Request
	id       string
	attempt  int
	priority int
	from     int
	total    int
	cached   int
	// reserve is the number of tokens that the answer reserves.
	reserve int
	// place is the request's part of the batch.
	place  *waiter
	answer completion.Answer
}

// resumePoint is the field resume of a request on the wire.
type resumePoint struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// complete runs one completion request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, kind completion.Kind) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	j, p := newJob(r, kind, body)
	if p != nil {
		problem.Write(w, p, j.id)
		return
	}
	if !e.serves(j.Model) {
		problem.Write(w, problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "endpoint %q does not hold model %q", e.cfg.Name, j.Model), j.id)
		return
	}
	if tokens := j.PromptTokens + j.total; e.cfg.CacheTokens > 0 && tokens > e.cfg.CacheTokens {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusUnprocessableEntity, "prompt and answer of %d tokens exceed the %d of endpoint %q", tokens, e.cfg.CacheTokens, e.cfg.Name), j.id)
		return
	}
	e.counts.add(func(c *Counts) { c.Requests++ })
	if e.refuses(j) {
		problem.Write(w, problem.New(problem.Internal, http.StatusInternalServerError, "the engine failed as it was told to").WithOutcome(problem.Unknown), j.id)
		return
	}
	if !e.run(w, r, j) && r.Context().Err() != nil {
		e.counts.cancel(j.id, time.Now())
	}
}

// newJob reads a request; a resumed one must bear the text that this model gives.
func newJob(r *http.Request, kind completion.Kind, body []byte) (*job, *problem.Problem) {
	j := &job{id: r.Header.Get("X-Request-Id")}
	var err error
	if j.Request, err = completion.Decode(kind, body); err != nil {
		return j, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	_ = json.Unmarshal(j.Fields["priority"], &j.priority)
	j.reserve = j.MaxTokens
	_ = json.Unmarshal(j.Fields["reserveTokens"], &j.reserve)
	j.total = AnswerTokens(j.Model, j.Prompt, j.MaxTokens)
	j.answer = completion.Answer{Kind: kind, ID: j.id, Model: j.Model}
	if header := r.Header.Get("X-Attempt"); header != "" {
		j.attempt, _ = strconv.Atoi(header)
		j.answer.Attempt = &j.attempt
	}
	raw, ok := j.Fields["resume"]
	if !ok {
		return j, nil
	}
	var from resumePoint
	if json.Unmarshal(raw, &from) != nil || from.Position > j.total || from.Text != j.text(from.Position) {
		return j, problem.New(problem.MalformedRequest, http.StatusUnprocessableEntity, "the text to resume is not this model's")
	}
	j.from = from.Position
	return j, nil
}

// text returns the first n tokens of the answer.
func (j *job) text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(j.Model, j.Prompt, i))
	}
	return b.String()
}

func (j *job) end() stream.End {
	return stream.End{FinishReason: "stop", Pieces: j.total, PromptTokens: j.PromptTokens, CachedTokens: j.cached}
}

// refuses reports whether the request is one of the share that is refused.
func (e *Engine) refuses(j *job) bool {
	if e.cfg.Faults.RefuseShare <= 0 {
		return false
	}
	return float64(xxhash.Sum64String(j.id))/math.MaxUint64 < e.cfg.Faults.RefuseShare
}

// run waits for a slot, reads the prompt and sends the answer; it reports whether the answer was sent whole.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, j *job) bool {
	ctx := r.Context()
	j.place = e.batch.acquire(ctx, j.priority, j.PromptTokens+j.from, max(j.reserve-j.from, 0))
	if j.place == nil {
		return false
	}
	defer e.batch.leave(j.place)
	if !e.prefill(ctx, j) {
		return false
	}
	var sent bool
	if j.Streaming {
		sent = e.stream(ctx, w, j)
	} else {
		sent = e.whole(ctx, w, j)
	}
	if sent {
		e.counts.add(func(c *Counts) { c.Finished++ })
	}
	return sent
}

// prefill takes the time of the tokens that are not cached, those of a resumed answer included.
func (e *Engine) prefill(ctx context.Context, j *job) bool {
	j.cached = min(e.cache.use(time.Now(), j.Prompt), j.PromptTokens)
	e.counts.add(func(c *Counts) {
		c.PromptTokens += int64(j.PromptTokens)
		c.CachedTokens += int64(j.cached)
		if j.from > 0 {
			c.Resumed++
		}
	})
	return clock.Sleep(ctx, time.Duration(j.PromptTokens-j.cached+j.from)*e.cfg.PrefillTime)
}

// room makes room for one more token in the pool. A request that was put back waits until it runs again, and takes the
// time of reading its prompt and the tokens sent so far again.
func (e *Engine) room(ctx context.Context, j *job) bool {
	for !e.batch.grow(j.place) {
		if !e.batch.wait(ctx, j.place) {
			return false
		}
		again := j.place.used - min(e.cache.use(time.Now(), j.Prompt), j.PromptTokens)
		if !clock.Sleep(ctx, time.Duration(again)*e.cfg.PrefillTime) {
			return false
		}
	}
	return true
}

// token takes the time of one token and counts it.
func (e *Engine) token(ctx context.Context, j *job) bool {
	if !e.room(ctx, j) {
		return false
	}
	running, _, _ := e.batch.load()
	if !clock.Sleep(ctx, e.tokenTime(running)) {
		return false
	}
	e.counts.add(func(c *Counts) { c.Tokens++ })
	if f := e.cfg.Faults; f.DieAfterTokens > 0 && e.tokens.Add(1) == int64(f.DieAfterTokens) {
		f.Die()
	}
	return true
}

// stream sends the answer token by token.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, j *job) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := j.from; i < j.total; i++ {
		if after := e.cfg.Faults.StallAfterTokens; after > 0 && i >= after {
			<-ctx.Done()
			return false
		}
		if !e.token(ctx, j) || !sendEvent(w, j.answer.Chunk(stream.Piece{Position: i, Text: Token(j.Model, j.Prompt, i)})) {
			return false
		}
	}
	return sendEvent(w, j.answer.End(j.end())) && sendEvent(w, []byte(completion.Done))
}

// whole sends the answer at once.
func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, j *job) bool {
	for range j.total {
		if !e.token(ctx, j) {
			return false
		}
	}
	_, err := w.Write(j.answer.Complete(j.text(j.total), j.end()))
	return err == nil
}

func sendEvent(w http.ResponseWriter, data []byte) bool {
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

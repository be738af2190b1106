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

// EngineFaults are faults injected into an engine; zero values inject none.
type EngineFaults struct {
	// Die ends the process; it is called when the engine has generated DieAfterTokens tokens over all requests.
	Die            func()
	DieAfterTokens int
	// DieAtPrompt also ends the process when the engine is about to answer a prompt that contains it.
	DieAtPrompt string
	// StallAfterTokens is the number of tokens after which a stream stalls with its connection open.
	StallAfterTokens int
	// RefuseShare is the fraction of requests, selected by a hash of their ids, that fail with an unknown outcome.
	RefuseShare float64
}

// job is one completion request that an engine runs.
type job struct {
	completion.Request
	id             string
	attempt        int
	priority       int
	resumePosition int
	totalTokens    int
	cachedTokens   int
	// reserveTokens is the number of KV tokens reserved for the answer.
	reserveTokens int
	// batchReq is the request as the batch schedules it.
	batchReq *batchRequest
	answer   completion.Answer
	// softwareVersion is written before each token, unless it is empty.
	softwareVersion string
}

// resumePoint is the JSON field resume of a request.
type resumePoint struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// serveCompletion handles one completion request.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, kind completion.Kind) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	j, p := newJob(r, kind, body, e.cfg.SoftwareVersion)
	if p != nil {
		problem.Write(w, p, j.id)
		return
	}
	if !e.serves(j.Model) {
		problem.Write(w, problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "endpoint %q does not hold model %q",
			e.cfg.Name, j.Model), j.id)
		return
	}
	if tokens := j.PromptTokens + j.totalTokens; e.cfg.CacheTokens > 0 && tokens > e.cfg.CacheTokens {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusUnprocessableEntity,
			"prompt and answer of %d tokens exceed the %d of endpoint %q", tokens, e.cfg.CacheTokens, e.cfg.Name), j.id)
		return
	}
	e.counts.update(func(c *Counts) { c.Requests++ })
	if e.shouldFail(j) {
		problem.Write(w, problem.New(problem.Internal, http.StatusInternalServerError,
			"the engine failed as it was told to").WithOutcome(problem.Unknown), j.id)
		return
	}
	if f := e.cfg.Faults; f.DieAtPrompt != "" && strings.Contains(j.Prompt, f.DieAtPrompt) {
		f.Die()
	}
	if !e.runJob(w, r, j) && r.Context().Err() != nil {
		e.counts.recordCancel(j.id, time.Now())
	}
}

// newJob decodes a request; the text of a resumed one must match the answer that this model generates, unless the engine
// has a software version.
func newJob(r *http.Request, kind completion.Kind, body []byte, softwareVersion string) (*job, *problem.Problem) {
	j := &job{id: r.Header.Get("X-Request-Id"), softwareVersion: softwareVersion}
	var err error
	if j.Request, err = completion.Decode(kind, body); err != nil {
		return j, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	_ = json.Unmarshal(j.Fields["priority"], &j.priority)
	j.reserveTokens = j.MaxTokens
	_ = json.Unmarshal(j.Fields["reserveTokens"], &j.reserveTokens)
	j.totalTokens = AnswerTokens(j.Model, j.Prompt, j.MaxTokens)
	j.answer = completion.Answer{Kind: kind, ID: j.id, Model: j.Model}
	if header := r.Header.Get("X-Attempt"); header != "" {
		j.attempt, _ = strconv.Atoi(header)
		j.answer.Attempt = &j.attempt
	}
	raw, ok := j.Fields["resume"]
	if !ok {
		return j, nil
	}
	var resume resumePoint
	if json.Unmarshal(raw, &resume) != nil || resume.Position > j.totalTokens || (softwareVersion == "" && resume.Text != j.text(resume.Position)) {
		return j, problem.New(problem.MalformedRequest, http.StatusUnprocessableEntity,
			"the text to resume is not this model's")
	}
	j.resumePosition = resume.Position
	return j, nil
}

// text returns the first n tokens of the answer.
func (j *job) text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(j.token(i))
	}
	return b.String()
}

// token returns the token at a position of the answer, after the engine's software version if it has one.
func (j *job) token(position int) string {
	token := Token(j.Model, j.Prompt, position)
	if j.softwareVersion == "" {
		return token
	}
	return j.softwareVersion + "/" + token
}

func (j *job) end() stream.End {
	return stream.End{
		FinishReason: "stop",
		Pieces:       j.totalTokens,
		PromptTokens: j.PromptTokens,
		CachedTokens: j.cachedTokens,
	}
}

// shouldFail reports whether the request is selected to fail by RefuseShare.
func (e *Engine) shouldFail(j *job) bool {
	if e.cfg.Faults.RefuseShare <= 0 {
		return false
	}
	return float64(xxhash.Sum64String(j.id))/math.MaxUint64 < e.cfg.Faults.RefuseShare
}

// runJob waits for a slot, prefills the prompt and sends the answer; it reports whether the answer was sent completely.
func (e *Engine) runJob(w http.ResponseWriter, r *http.Request, j *job) bool {
	ctx := r.Context()
	j.batchReq = e.batch.acquire(ctx, j.priority, j.PromptTokens+j.resumePosition,
		max(j.reserveTokens-j.resumePosition, 0))
	if j.batchReq == nil {
		return false
	}
	defer e.batch.remove(j.batchReq)
	if !e.prefill(ctx, j) {
		return false
	}
	var complete bool
	if j.Streaming {
		complete = e.sendStream(ctx, w, j)
	} else {
		complete = e.sendNonStreaming(ctx, w, j)
	}
	if complete {
		e.counts.update(func(c *Counts) { c.Finished++ })
	}
	return complete
}

// prefill waits for the prefill time of the tokens that are not cached, including those of a resumed answer.
func (e *Engine) prefill(ctx context.Context, j *job) bool {
	j.cachedTokens = min(e.cache.lookupAndStore(time.Now(), j.Prompt), j.PromptTokens)
	e.counts.update(func(c *Counts) {
		c.PromptTokens += int64(j.PromptTokens)
		c.CachedTokens += int64(j.cachedTokens)
		if j.resumePosition > 0 {
			c.Resumed++
		}
	})
	return clock.Sleep(ctx, time.Duration(j.PromptTokens-j.cachedTokens+j.resumePosition)*e.cfg.PrefillTime)
}

// allocateKVToken allocates one more KV token. While the request is preempted, it waits for readmission and then for
// the prefill time of the prompt and the tokens generated so far.
func (e *Engine) allocateKVToken(ctx context.Context, j *job) bool {
	for !e.batch.grow(j.batchReq) {
		if !e.batch.wait(ctx, j.batchReq) {
			return false
		}
		again := j.batchReq.used - min(e.cache.lookupAndStore(time.Now(), j.Prompt), j.PromptTokens)
		if !clock.Sleep(ctx, time.Duration(again)*e.cfg.PrefillTime) {
			return false
		}
	}
	return true
}

// generateToken waits for the time of one token and counts it.
func (e *Engine) generateToken(ctx context.Context, j *job) bool {
	if !e.allocateKVToken(ctx, j) {
		return false
	}
	running, _, _ := e.batch.load()
	if !clock.Sleep(ctx, e.tokenTime(running)) {
		return false
	}
	e.counts.update(func(c *Counts) { c.Tokens++ })
	if f := e.cfg.Faults; f.DieAfterTokens > 0 && e.tokens.Add(1) == int64(f.DieAfterTokens) {
		f.Die()
	}
	return true
}

// sendStream sends the answer token by token as server-sent events.
func (e *Engine) sendStream(ctx context.Context, w http.ResponseWriter, j *job) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := j.resumePosition; i < j.totalTokens; i++ {
		if after := e.cfg.Faults.StallAfterTokens; after > 0 && i >= after {
			<-ctx.Done()
			return false
		}
		if !e.generateToken(ctx, j) ||
			!sendEvent(w, j.answer.Chunk(stream.Piece{Position: i, Text: j.token(i)})) {
			return false
		}
	}
	return sendEvent(w, j.answer.End(j.end())) && sendEvent(w, []byte(completion.Done))
}

// sendNonStreaming sends the answer as one response.
func (e *Engine) sendNonStreaming(ctx context.Context, w http.ResponseWriter, j *job) bool {
	for range j.totalTokens {
		if !e.generateToken(ctx, j) {
			return false
		}
	}
	_, err := w.Write(j.answer.Complete(j.text(j.totalTokens), j.end()))
	return err == nil
}

func sendEvent(w http.ResponseWriter, data []byte) bool {
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

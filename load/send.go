package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"arbutusreel/completion"
	"arbutusreel/problem"
)

// Limits of retrying a request at another entry.
const (
	maxRetries = 20
	retryDelay = 50 * time.Millisecond
)

// Failures other than problem codes.
const (
	failureTransport   = "transport"
	failureCut         = "cut"
	failureMalformed   = "malformed"
	failureStreamError = "streamError"
)

// chatMessage is a message of a chat completion request or response.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

func (g *generator) body(prompt string) []byte {
	b, err := json.Marshal(chatRequest{
		Model:     g.mix.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		Stream:    g.mix.Stream,
		MaxTokens: g.mix.MaxTokens,
	})
	if err != nil {
		return nil
	}
	return b
}

// send sends a request, and retries it at another entry while it is certain that it has not run, or while its
// idempotency key makes it run at most once.
func (g *generator) send(ctx context.Context, path, key string, body []byte, o *outcome) *http.Response {
	token := ""
	if key != "" {
		token = g.epochToken(ctx)
	}
	for {
		address := g.entries.pick()
		resp, retryable, failure := g.sendOnce(ctx, "http://"+address+path, key, token, body)
		if failure == "" {
			return resp
		}
		if !retryable || o.retries == maxRetries {
			o.failure = failure
			return nil
		}
		o.retries++
		g.entries.exclude(address)
		time.Sleep(retryDelay)
	}
}

// sendOnce sends a request to one entry; retryable reports whether another entry can be tried.
func (g *generator) sendOnce(ctx context.Context, url, key, token string, body []byte,
) (resp *http.Response, retryable bool, failure string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, failureTransport
	}
	req.Header.Set("Authorization", "Bearer "+g.mix.Token)
	req.Header.Set("Content-Type", "application/json")
	if g.mix.Class != "" {
		req.Header.Set("Arbutusreel-Class", g.mix.Class)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Arbutusreel-Epoch", token)
	}
	resp, err = g.client.Do(req)
	if err != nil {
		return nil, isDialError(err), failureTransport
	}
	if resp.StatusCode == http.StatusOK {
		return resp, false, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if p, ok := problem.Decode(b); ok && err == nil {
		return nil, isInstanceRefusal(p.Code) && (p.Outcome == problem.NotRun || key != ""), string(p.Code)
	}
	return nil, false, fmt.Sprintf("status%d", resp.StatusCode)
}

// isInstanceRefusal reports whether a request was refused because of the state of the instance, so that another
// instance may accept it.
func isInstanceRefusal(code problem.Code) bool {
	return code == problem.Stopping || code == problem.InstanceFull
}

// isDialError reports whether a request failed before a connection was made.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// sendCall sends one call of a plain service.
func (g *generator) sendCall(ctx context.Context, a arrival) outcome {
	var o outcome
	key := fmt.Sprintf("%s-%s-%d-%d", g.cfg.KeyPrefix, g.mix.Name, g.cfg.Seed, a.index)
	resp := g.send(ctx, "/v1/services/"+g.mix.Service+"/orders", key, []byte(a.prompt), &o)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.failure = failureCut
	}
	o.text = string(b)
	return o
}

// sendCompletion sends one completion that was due at a time.
func (g *generator) sendCompletion(ctx context.Context, a arrival, due time.Time) outcome {
	var o outcome
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp := g.send(ctx, "/v1/chat/completions", "", g.body(a.prompt), &o)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	o.correlationID = resp.Header.Get("X-Correlation-Id")
	if g.mix.Stream {
		o.readStream(resp.Body, due, a.abandonAfter)
		return o
	}
	o.readResponse(resp.Body)
	return o
}

// readResponse reads a non-streaming response.
func (o *outcome) readResponse(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		o.failure = failureCut
		return
	}
	var m struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
		Usage struct {
			Tokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(b, &m) != nil || len(m.Choices) != 1 {
		o.failure = failureMalformed
		return
	}
	o.text = m.Choices[0].Message.Content
	o.tokens = m.Usage.Tokens
}

// readStream reads server-sent events until the end marker, or abandons the stream after abandonAfter tokens if that is
// positive.
func (o *outcome) readStream(body io.Reader, due time.Time, abandonAfter int) {
	var text strings.Builder
	last := due
	o.failure = failureCut
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			o.failure = failureStreamError
			return
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == completion.Done {
			o.text = text.String()
			o.failure = ""
			return
		}
		event, err := completion.DecodeChunk([]byte(data))
		if err != nil {
			o.failure = failureMalformed
			return
		}
		if event.HasPosition {
			o.recordToken(&last)
			text.WriteString(event.Text)
		}
		if abandonAfter > 0 && o.tokens == abandonAfter {
			o.abandoned = true
			o.abandonedAt = time.Now()
			return
		}
	}
}

// recordToken records the arrival time of one token.
func (o *outcome) recordToken(last *time.Time) {
	now := time.Now()
	if o.tokens == 0 {
		o.firstToken = now.Sub(*last)
	} else {
		o.tokenGaps = append(o.tokenGaps, now.Sub(*last))
	}
	o.tokens++
	*last = now
}

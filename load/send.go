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

// Limits of sending a request that was not run to another entry.
const (
	maxTries  = 20
	tryPeriod = 50 * time.Millisecond
)

// Failures that are not codes of a problem.
const (
	failureTransport   = "transport"
	failureCut         = "cut"
	failureMalformed   = "malformed"
	failureStreamError = "streamError"
)

// chatMessage is a chat message on the wire.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is a chat request on the wire.
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

// send sends a request to one entry after another while it is certain that none has run it, or that its key lets it run once.
func (g *generator) send(ctx context.Context, path, key string, body []byte, o *outcome) *http.Response {
	token := ""
	if key != "" {
		token = g.token(ctx)
	}
	for {
		address := g.entries.take()
		resp, again, failure := g.try(ctx, "http://"+address+path, key, token, body)
		if failure == "" {
			return resp
		}
		if !again || o.moved == maxTries {
			o.failure = failure
			return nil
		}
		o.moved++
		g.entries.leave(address)
		time.Sleep(tryPeriod)
	}
}

// try sends a request once; again says that another entry may be tried.
func (g *generator) try(ctx context.Context, url, key, token string, body []byte) (resp *http.Response, again bool, failure string) {
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
		return nil, notConnected(err), failureTransport
	}
	if resp.StatusCode == http.StatusOK {
		return resp, false, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if p, ok := problem.Decode(b); ok && err == nil {
		return nil, ofInstance(p.Code) && (p.Outcome == problem.NotRun || key != ""), string(p.Code)
	}
	return nil, false, fmt.Sprintf("status%d", resp.StatusCode)
}

// ofInstance reports whether a refusal lies with the instance, so that another one may take the request.
func ofInstance(code problem.Code) bool {
	return code == problem.Stopping || code == problem.InstanceFull
}

// notConnected reports whether a request failed before a connection was made.
func notConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// call sends one call of a plain service.
func (g *generator) call(ctx context.Context, a arrival) outcome {
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

// complete sends one completion that was due at a time.
func (g *generator) complete(ctx context.Context, a arrival, due time.Time) outcome {
	var o outcome
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	resp := g.send(ctx, "/v1/chat/completions", "", g.body(a.prompt), &o)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	o.id = resp.Header.Get("X-Correlation-Id")
	if g.mix.Stream {
		o.readStream(resp.Body, due, a.leaveAfter)
		return o
	}
	o.readWhole(resp.Body)
	return o
}

// readWhole reads an answer that is not streamed.
func (o *outcome) readWhole(body io.Reader) {
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

// readStream reads server-sent events to their end mark, or leaves after a number of tokens.
func (o *outcome) readStream(body io.Reader, due time.Time, leaveAfter int) {
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
			o.token(&last)
			text.WriteString(event.Text)
		}
		if leaveAfter > 0 && o.tokens == leaveAfter {
			o.left = true
			o.leftAt = time.Now()
			return
		}
	}
}

// token notes the time of one token.
func (o *outcome) token(last *time.Time) {
	now := time.Now()
	if o.tokens == 0 {
		o.first = now.Sub(*last)
	} else {
		o.gaps = append(o.gaps, now.Sub(*last))
	}
	o.tokens++
	*last = now
}

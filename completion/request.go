package completion

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind distinguishes chat completions from text completions.
type Kind int

// Kinds of completions.
const (
	Chat Kind = iota
	Text
)

// bytesPerToken is the number of prompt bytes that are estimated as one token.
const bytesPerToken = 4

// DefaultMaxTokens is the maximum length in tokens of an answer whose request does not set one.
const DefaultMaxTokens = 1024

// Request is the part of a caller's request that the gateway reads; Fields holds the whole request.
type Request struct {
	Kind         Kind
	Model        string
	Prompt       string
	Streaming    bool
	MaxTokens    int
	PromptTokens int
	Fields       map[string]json.RawMessage
}

// MalformedError reports a field of a request that cannot be decoded; Field is empty if the request as a whole, or an
// event of an answer, cannot be decoded.
type MalformedError struct {
	Field string
	Cause error
}

// Error names the field and the cause.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("completion request: field %q: %v", e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// MissingError reports a required field that a request lacks.
type MissingError struct {
	Field string
}

// Error names the field.
func (e *MissingError) Error() string {
	return fmt.Sprintf("completion request: field %q is required", e.Field)
}

// RangeError reports that a number of a request or an event is too small.
type RangeError struct {
	Field string
	Min   int
}

// Error names the field and its minimum.
func (e *RangeError) Error() string {
	return fmt.Sprintf("completion request: field %q must be at least %d", e.Field, e.Min)
}

// message is the JSON form of a chat message.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Decode decodes a caller's request; it returns *MalformedError, *MissingError or *RangeError if the request is
// invalid.
func Decode(kind Kind, body []byte) (Request, error) {
	r := Request{Kind: kind, MaxTokens: DefaultMaxTokens}
	if err := json.Unmarshal(body, &r.Fields); err != nil {
		return Request{}, &MalformedError{Field: "", Cause: err}
	}
	targets := []struct {
		field string
		value any
	}{
		{"model", &r.Model},
		{"stream", &r.Streaming},
		{"max_tokens", &r.MaxTokens},
	}
	for _, t := range targets {
		if err := r.decodeField(t.field, t.value); err != nil {
			return Request{}, err
		}
	}
	if r.Model == "" {
		return Request{}, &MissingError{Field: "model"}
	}
	if r.MaxTokens < 1 {
		return Request{}, &RangeError{Field: "max_tokens", Min: 1}
	}
	if err := r.decodePrompt(); err != nil {
		return Request{}, err
	}
	r.PromptTokens = len(r.Prompt)/bytesPerToken + 1
	return r, nil
}

// decodeField decodes an optional field of the request into value.
func (r *Request) decodeField(field string, value any) error {
	raw, ok := r.Fields[field]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return &MalformedError{Field: field, Cause: err}
	}
	return nil
}

func (r *Request) decodePrompt() error {
	if r.Kind == Text {
		if _, ok := r.Fields["prompt"]; !ok {
			return &MissingError{Field: "prompt"}
		}
		return r.decodeField("prompt", &r.Prompt)
	}
	var messages []message
	if _, ok := r.Fields["messages"]; !ok {
		return &MissingError{Field: "messages"}
	}
	if err := r.decodeField("messages", &messages); err != nil {
		return err
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	r.Prompt = b.String()
	return nil
}

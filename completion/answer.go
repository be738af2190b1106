package completion

import (
	"encoding/json"

	"arbutusreel/stream"
)

// chunk is the JSON form of one event of a streamed answer, or of a complete answer.
type chunk struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Model    string   `json:"model"`
	Position *int     `json:"position,omitempty"`
	Attempt  *int     `json:"attempt,omitempty"`
	Choices  []choice `json:"choices"`
	Usage    *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Done is the data of the last event of a streamed answer.
const Done = "[DONE]"

// Answer encodes the answer to one request; its events contain the attempt only if Attempt is not nil.
type Answer struct {
	Kind    Kind
	ID      string
	Model   string
	Attempt *int
}

// Chunk returns the event for a piece.
func (a Answer) Chunk(p stream.Piece) []byte {
	c := choice{}
	if a.Kind == Chat {
		c.Delta = &content{Content: p.Text}
	} else {
		c.Text = &p.Text
	}
	m := a.newChunk(".chunk", c)
	m.Position = &p.Position
	return encode(m)
}

// End returns the event that ends a streamed answer and precedes Done.
func (a Answer) End(e stream.End) []byte {
	c := choice{FinishReason: &e.FinishReason}
	if a.Kind == Chat {
		c.Delta = &content{}
	}
	m := a.newChunk(".chunk", c)
	m.Usage = usageOf(e)
	return encode(m)
}

// Complete returns a complete answer that is not streamed.
func (a Answer) Complete(text string, e stream.End) []byte {
	c := choice{FinishReason: &e.FinishReason}
	if a.Kind == Chat {
		c.Message = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	m := a.newChunk("", c)
	m.Usage = usageOf(e)
	return encode(m)
}

func (a Answer) newChunk(suffix string, c choice) chunk {
	return chunk{ID: a.ID, Object: a.object(suffix), Model: a.Model, Attempt: a.Attempt, Choices: []choice{c}}
}

func (a Answer) object(suffix string) string {
	if a.Kind == Chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func usageOf(e stream.End) *usage {
	return &usage{
		PromptTokens:     e.PromptTokens,
		CompletionTokens: e.Pieces,
		TotalTokens:      e.PromptTokens + e.Pieces,
		CachedTokens:     e.CachedTokens,
	}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return b
}

// Event is a decoded event of a streamed answer: a piece of text, the end of the answer, or both.
type Event struct {
	ID           string
	Attempt      int
	HasAttempt   bool
	Position     int
	HasPosition  bool
	Text         string
	FinishReason string
	// Pieces is the number of pieces of the answer as counted by its last event; HasUsage is false if the event has
	// no count.
	Pieces       int
	HasUsage     bool
	PromptTokens int
	CachedTokens int
}

// DecodeChunk decodes one event of a streamed answer; it returns *MalformedError or *RangeError if the event is
// invalid.
func DecodeChunk(b []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil {
		return Event{}, &MalformedError{Field: "", Cause: err}
	}
	e := Event{ID: c.ID}
	if c.Position != nil {
		e.Position = *c.Position
		e.HasPosition = true
	}
	if c.Attempt != nil {
		e.Attempt = *c.Attempt
		e.HasAttempt = true
	}
	for _, item := range c.Choices {
		if item.Delta != nil {
			e.Text += item.Delta.Content
		}
		if item.Text != nil {
			e.Text += *item.Text
		}
		if item.FinishReason != nil {
			e.FinishReason = *item.FinishReason
		}
	}
	if c.Usage != nil {
		e.HasUsage = true
		e.Pieces = c.Usage.CompletionTokens
		e.PromptTokens = c.Usage.PromptTokens
		e.CachedTokens = c.Usage.CachedTokens
	}
	return e, e.validate()
}

// validate returns *RangeError for a negative number.
func (e Event) validate() error {
	numbers := []struct {
		field string
		value int
	}{
		{"position", e.Position},
		{"attempt", e.Attempt},
		{"completion_tokens", e.Pieces},
		{"prompt_tokens", e.PromptTokens},
		{"cached_tokens", e.CachedTokens},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return &RangeError{Field: n.field, Min: 0}
		}
	}
	return nil
}

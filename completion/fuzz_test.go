package completion_test

import (
	"testing"

	"arbutusreel/completion"
)

// FuzzDecode checks that an accepted request has a model and positive token counts.
func FuzzDecode(f *testing.F) {
	f.Add(true, []byte(`{"model":"m","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}`))
	f.Add(false, []byte(`{"model":"m","prompt":"hello","max_tokens":-1}`))
	f.Add(false, []byte(`{"model":"m","prompt":"hello","max_tokens":null}`))
	f.Add(false, []byte(`{"model":"m","prompt":"hello","max_tokens":1e30}`))
	f.Add(false, []byte(`{"model":"m","prompt":"x","stream":null}`))
	f.Add(true, []byte(`null`))
	f.Add(true, []byte(`[]`))
	f.Fuzz(func(t *testing.T, chat bool, b []byte) {
		kind := completion.Text
		if chat {
			kind = completion.Chat
		}
		r, err := completion.Decode(kind, b)
		if err != nil {
			return
		}
		if r.Model == "" || r.PromptTokens <= 0 || r.MaxTokens <= 0 {
			t.Errorf("invalid request %+v was accepted", r)
		}
	})
}

// FuzzDecodeChunk checks that an accepted event has no negative number.
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"id":"c","position":0,"choices":[{"index":0,"delta":{"content":"a "},"finish_reason":null}]}`))
	f.Add([]byte(`{"id":"c","choices":[{"text":"a","finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}`))
	f.Add([]byte(`{"id":"c","position":-1}`))
	f.Add([]byte(`{"usage":{"completion_tokens":-1,"prompt_tokens":-2}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := completion.DecodeChunk(b)
		if err != nil {
			return
		}
		if e.Position < 0 || e.Attempt < 0 || e.Pieces < 0 || e.PromptTokens < 0 || e.CachedTokens < 0 {
			t.Errorf("invalid event %+v was accepted", e)
		}
	})
}

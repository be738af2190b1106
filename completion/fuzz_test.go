package completion

import "testing"

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`))
	f.Add([]byte(`{"model":"m","prompt":"x","stream":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, kind := range []Kind{Chat, Text} {
			if r, err := Decode(kind, b); err == nil && (r.Model == "" || r.MaxTokens < 1 || r.PromptTokens < 1) {
				t.Errorf("decoded %+v", r)
			}
		}
	})
}

func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"id":"a","position":0,"choices":[{"delta":{"content":"x"},"finish_reason":null}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = DecodeChunk(b)
	})
}

package stream

import (
	"errors"
	"testing"
)

// TestCheckEvent guards against the head of another answer in an event, and against refusing text about HTTP.
func TestCheckEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 2\ndata: piece\n\n": true,
		"x-versions: 3\nid: 2\ndata: HTTP/1.1 503\ndata: Connection: close\n\n": true,
		"\n": true,
		"data: pieHTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\n": false,
		"HTTP/1.0 500 Failed\r\n\r\n":                             false,
		"id: 2\nTransfer-Encoding:chunked\r\n\r\n":                false,
	} {
		var head *HeadInEventError
		if err := CheckEvent([]byte(text)); (err == nil) != want || !want && !errors.As(err, &head) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func BenchmarkCheckEvent(b *testing.B) {
	text := []byte("id: 2\ndata: a piece of text of eight tokens or so\n\n")
	for b.Loop() {
		_ = CheckEvent(text)
	}
}

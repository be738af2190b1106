package endpoint

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
)

// TestReplySize checks that a reply is returned complete or the call fails.
func TestReplySize(t *testing.T) {
	tests := []struct {
		name     string
		size     int
		cut      bool
		tooLarge bool
		unknown  bool
	}{
		{"empty", 0, false, false, false},
		{"largest", maxReplyBytes, false, false, false},
		{"too large", maxReplyBytes + 1, false, true, true},
		{"cut", 4096, true, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(bytes.Repeat([]byte("x"), tt.size))
				if tt.cut {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			e := membership.Endpoint{Name: "desk", Address: server.Listener.Addr().String()}
			reply, err := NewPlainClient().Call(t.Context(), e, dispatch.Request{Method: http.MethodPost, Path: "/orders"})
			var unknown *OutcomeUnknownError
			var tooLarge *AnswerTooLongError
			if errors.As(err, &unknown) != tt.unknown || errors.As(err, &tooLarge) != tt.tooLarge {
				t.Fatalf("error %v", err)
			}
			if err == nil && len(reply.Body) != tt.size {
				t.Errorf("%d of %d bytes", len(reply.Body), tt.size)
			}
		})
	}
}

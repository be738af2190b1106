package endpoint

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/stream"
)

const requestID = "own"

// sink records the text of the pieces.
type sink struct{ strings.Builder }

func (s *sink) Piece(p stream.Piece) error {
	s.WriteString(p.Text)
	return nil
}

// engine starts a fake engine that answers each request with the same bytes.
func engine(t testing.TB, answer *[]byte, cut *bool) membership.Endpoint {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(*answer)
		if *cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return membership.Endpoint{Name: "engine", Address: server.Listener.Addr().String()}
}

func generate(t testing.TB, e membership.Endpoint, attempt int) (string, stream.End, error) {
	s := &sink{}
	r := dispatch.Request{CorrelationID: requestID, Path: "/v1/chat/completions", Body: []byte(`{"model":"m"}`)}
	end, err := NewModelClient().Generate(t.Context(), e, r, dispatch.Attempt{Number: attempt}, s)
	return s.String(), end, err
}

func event(data []byte) []byte { return fmt.Appendf(nil, "data: %s\n\n", data) }

func answerOf(id string, attempt int) completion.Answer {
	return completion.Answer{Kind: completion.Chat, ID: id, Model: "m", Attempt: &attempt}
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

// wholeEvents returns the events of an answer of n tokens, without the end mark.
func wholeEvents(id string, attempt, n int) [][]byte {
	a := answerOf(id, attempt)
	var events [][]byte
	for i := range n {
		events = append(events, event(a.Chunk(stream.Piece{Position: i, Text: token(i)})))
	}
	return append(events, event(a.End(stream.End{FinishReason: "stop", Pieces: n})))
}

func text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(i))
	}
	return b.String()
}

// TestMisbehavingEngine inserts, duplicates, reorders and drops events of an answer, including events of other requests
// and earlier attempts.
func TestMisbehavingEngine(t *testing.T) {
	var answer []byte
	var cut bool
	e := engine(t, &answer, &cut)
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "tokens")
		events := wholeEvents(requestID, 1, n)
		foreign := slices.Concat(wholeEvents("other", 1, n+1), wholeEvents(requestID, 0, n+1))
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			i := rapid.IntRange(0, len(events)-1).Draw(rt, "at")
			switch rapid.SampledFrom([]string{"foreign", "double", "swap", "lose"}).Draw(rt, "fault") {
			case "foreign":
				events = slices.Insert(events, i, rapid.SampledFrom(foreign).Draw(rt, "event"))
			case "double":
				events = append(events, events[i])
			case "swap":
				events[0], events[i] = events[i], events[0]
			case "lose":
				if len(events) > 1 {
					events = slices.Delete(events, i, i+1)
				}
			}
		}
		answer = append(bytes.Join(events, nil), event([]byte(completion.Done))...)
		got, end, err := generate(t, e, 1)
		if !strings.HasPrefix(text(n), got) {
			rt.Fatalf("the text %q is not a prefix of the answer %q", got, text(n))
		}
		if err == nil && (got != text(n) || end.Pieces != n) {
			rt.Fatalf("the text %q with end %+v passed as the complete answer %q", got, end, text(n))
		}
		var incomplete *stream.IncompleteError
		if err != nil && !errors.As(err, &incomplete) {
			rt.Fatalf("the error %v is not an incomplete answer", err)
		}
	})
}

// TestDroppedEvents checks that duplicate, late and foreign events and comments do not make a complete answer fail.
func TestDroppedEvents(t *testing.T) {
	own := wholeEvents(requestID, 1, 3)
	late := wholeEvents(requestID, 0, 3)
	other := wholeEvents("other", 1, 3)
	tests := []struct {
		name   string
		events [][]byte
	}{
		{"doubled", [][]byte{own[0], own[0], own[1], own[0], own[2], own[3], own[3], own[2]}},
		{"late attempt", [][]byte{late[0], own[0], late[1], late[3], own[1], own[2], own[3]}},
		{"foreign", [][]byte{other[3], own[0], other[1], own[1], own[2], other[2], own[3]}},
		{"comments", [][]byte{[]byte(": keep\n\n"), own[0], own[1], []byte("id: 7\r\n"), own[2], own[3]}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := append(bytes.Join(tt.events, nil), event([]byte(completion.Done))...)
			cut := false
			got, _, err := generate(t, engine(t, &answer, &cut), 1)
			if err != nil || got != text(3) {
				t.Errorf("text %q, error %v", got, err)
			}
		})
	}
}

// TestResume checks that a resumed attempt accepts the pieces from its position on, and that the end counts all pieces.
func TestResume(t *testing.T) {
	events := wholeEvents(requestID, 1, 4)
	answer := append(bytes.Join(events[1:], nil), event([]byte(completion.Done))...)
	cut := false
	e := engine(t, &answer, &cut)
	s := &sink{}
	r := dispatch.Request{CorrelationID: requestID, Body: []byte(`{"model":"m","resume":{"position":9}}`)}
	attempt := dispatch.Attempt{Number: 1, Next: 2, Text: text(2)}
	end, err := NewModelClient().Generate(t.Context(), e, r, attempt, s)
	if err != nil || text(2)+s.String() != text(4) || end.Pieces != 4 {
		t.Errorf("text %q, end %+v, error %v", s.String(), end, err)
	}
	body, _ := buildEngineBody(r, attempt)
	if !bytes.Contains(body, []byte(`"resume":{"position":2,"text":"t0 t1 "}`)) {
		t.Errorf("the engine was sent %s", body)
	}
	if body, _ = buildEngineBody(r, dispatch.Attempt{}); bytes.Contains(body, []byte("resume")) {
		t.Errorf("a caller's own resume was sent to the engine: %s", body)
	}
}

// TestTruncatedAtEveryByte cuts the connection at each byte of an answer.
func TestTruncatedAtEveryByte(t *testing.T) {
	const n = 3
	whole := append(bytes.Join(wholeEvents(requestID, 0, n), nil), event([]byte(completion.Done))...)
	mark := len(whole) - len("\n\n")
	var answer []byte
	cut := true
	e := engine(t, &answer, &cut)
	for i := range mark {
		answer = whole[:i]
		got, _, err := generate(t, e, 0)
		if err == nil {
			t.Fatalf("an answer cut at byte %d of %d passed as complete", i, len(whole))
		}
		if !strings.HasPrefix(text(n), got) {
			t.Fatalf("cut at byte %d: the text %q is not a prefix of the answer", i, got)
		}
	}
}

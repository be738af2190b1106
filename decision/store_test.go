package decision_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"arbutusreel/decision"
)

func TestStoreKeepsDecisions(t *testing.T) {
	s := decision.New(1 << 20)
	log := zerolog.New(zerolog.MultiLevelWriter(s))
	log.Info().Str("correlationId", "c1").Str("reason", "cheapest").Msg("routed")
	log.Info().Str("other", `"correlationId":"c1"`).Msg("no decision")
	log.Info().Str("placement", `engine "1"`).Msg("placed")
	log.Info().Str("correlationId", "c1").Str("placement", "e2").Msg("both")
	got := s.Lines(decision.Subject{Kind: decision.Request, Name: "c1"})
	want := []string{
		`{"level":"info","correlationId":"c1","reason":"cheapest","message":"routed"}`,
		`{"level":"info","correlationId":"c1","placement":"e2","message":"both"}`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines of the request (-want +got):\n%s", diff)
	}
	if got := s.Lines(decision.Subject{Kind: decision.Placement, Name: `engine "1"`}); len(got) != 1 {
		t.Errorf("lines of the placement: %q", got)
	}
}

// TestStoreIsBounded checks the limit in bytes, and that exactly the newest lines are kept.
func TestStoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(200, 2000).Draw(t, "limit")
		s := decision.New(limit)
		found := map[string][]string{}
		var written []string
		for i := range rapid.IntRange(1, 60).Draw(t, "lines") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			text := fmt.Sprintf(`{"correlationId":%q,"n":%d,"pad":%q}`, id, i, strings.Repeat("x", rapid.IntRange(0, 60).Draw(t, "pad")))
			if _, err := s.Write([]byte(text + "\n")); err != nil {
				t.Fatal(err)
			}
			written = append(written, text)
			if s.Bytes() > limit {
				t.Fatalf("%d bytes in use, at most %d", s.Bytes(), limit)
			}
		}
		total := 0
		for _, id := range []string{"a", "b", "c"} {
			found[id] = s.Lines(decision.Subject{Kind: decision.Request, Name: id})
			total += len(found[id])
		}
		for _, text := range written[len(written)-total:] {
			id := text[len(`{"correlationId":"`) : len(`{"correlationId":"`)+1]
			if len(found[id]) == 0 || found[id][0] != text {
				t.Fatalf("line %s is not the next kept one of %q", text, found[id])
			}
			found[id] = found[id][1:]
		}
	})
}

func TestMerge(t *testing.T) {
	got := decision.Merge(
		[]string{`{"time":"2","instance":"a"}`, `{"time":"1","instance":"a","clock":"went back"}`},
		[]string{`{"time":"1","instance":"b"}`, `{"time":"3","instance":"b"}`},
	)
	want := []string{`{"time":"1","instance":"b"}`, `{"time":"2","instance":"a"}`, `{"time":"1","instance":"a","clock":"went back"}`, `{"time":"3","instance":"b"}`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("merged lines (-want +got):\n%s", diff)
	}
}

// BenchmarkWrite measures a line that is kept in a full store, and one that is not kept.
func BenchmarkWrite(b *testing.B) {
	kept := []byte(`{"level":"info","role":"entry","instance":"entry-lahore-0","time":"2026-01-01T00:00:00Z","correlationId":"ABCDEFGHIJKL","service":"menu-model","reason":"leastOutstanding","message":"routed"}` + "\n")
	for _, size := range []int{1 << 16, 1 << 20, 1 << 24} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s := decision.New(size)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = s.Write(kept)
			}
		})
	}
	b.Run("notKept", func(b *testing.B) {
		s := decision.New(1 << 20)
		other := []byte(strings.ReplaceAll(string(kept), "correlationId", "x"))
		for b.Loop() {
			_, _ = s.Write(other)
		}
	})
}

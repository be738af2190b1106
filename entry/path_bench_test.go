package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"arbutusreel/completion"
	"arbutusreel/stream"
)

// BenchmarkStream measures one streamed answer by its number of tokens, with engine and caller in the same process.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			g := newTestEntry(b, nil)
			g.announce("menu-model", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				answer := completion.Answer{Kind: completion.Chat, ID: r.Header.Get("X-Request-Id"), Model: "m"}
				control := http.NewResponseController(w)
				for i := range tokens {
					_, _ = w.Write(event{data: answer.Chunk(stream.Piece{Position: i, Text: "word "})}.append(nil))
					_ = control.Flush()
				}
				_, _ = w.Write(event{data: answer.End(stream.End{FinishReason: "stop", Pieces: tokens})}.append(nil))
				_, _ = w.Write(event{data: []byte(completion.Done)}.append(nil))
			}))
			b.ReportAllocs()
			for b.Loop() {
				resp, err := g.server.Client().Do(g.request(b.Context(), http.MethodPost, chatPath, plan, nil))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}

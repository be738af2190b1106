package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks every write until it is released, like a pipe whose reader has stopped.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// TestStoppedReader logs far more lines than the queue holds while nothing is read: no write blocks, memory stays
// bounded, and the number of dropped lines is reported.
func TestStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 10 * maxQueuedLines
		s := &blockedWriter{release: make(chan struct{})}
		w := New(s)
		line := strings.Repeat("x", 200)
		for i := range lines {
			if n, err := fmt.Fprintf(w, "%d %s\n", i, line); err != nil || n == 0 {
				t.Fatalf("line %d: %d bytes, %v", i, n, err)
			}
			if i%maxQueuedLines == 0 {
				time.Sleep(2 * flushDelay)
			}
		}
		if w.queue.Len() > maxQueuedLines {
			t.Errorf("%d lines are queued", w.queue.Len())
		}
		dropped := w.Dropped()
		if dropped == 0 {
			t.Error("no line was dropped")
		}
		close(s.release)
		w.Close(time.Minute)
		written := strings.Count(s.got.String(), line)
		if int64(written)+dropped != lines {
			t.Errorf("%d lines were written and %d dropped, of %d", written, dropped, lines)
		}
		if !strings.Contains(s.got.String(), "logLinesDropped") {
			t.Error("the dropped lines are not reported")
		}
	})
}

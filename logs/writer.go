package logs

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"arbutusreel/ring"
)

const (
	// maxLines is the number of lines that wait; at 500 bytes a line they take 2 MB.
	maxLines = 4096
	// writeBuffer gathers lines into one write.
	writeBuffer = 32 << 10
	// flushDelay bounds how long a line waits for others to be written with it.
	flushDelay = 20 * time.Millisecond
)

// Writer is an io.Writer of whole lines that never blocks.
type Writer struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	total   atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer whose lines go to w until Close is called.
func New(w io.Writer) *Writer {
	l := &Writer{lines: ring.New[[]byte](maxLines), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write takes a copy of a line; it never fails, and drops the line if too many wait.
func (l *Writer) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	if !l.lines.Offer(kept) {
		l.dropped.Add(1)
		l.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (l *Writer) Dropped() int64 { return l.total.Load() }

// Close writes the lines that wait, for as long as w takes them, and returns after timeout at the latest.
func (l *Writer) Close(timeout time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	out := bufio.NewWriterSize(w, writeBuffer)
	t := time.NewTicker(flushDelay)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.drain(out)
		case <-l.stop:
			l.drain(out)
			return
		}
	}
}

// drain writes the lines that wait. A failed write has no one to be told to; the lines are lost with their reader.
func (l *Writer) drain(out *bufio.Writer) {
	if l.lines.Len() == 0 {
		return
	}
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"logLinesDropped\"}\n", n)
	}
	for n := l.lines.Len(); n > 0; n-- {
		line, ok := l.lines.Poll()
		if !ok {
			break
		}
		_, _ = out.Write(line)
	}
	_ = out.Flush()
}

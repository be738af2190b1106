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
	// maxQueuedLines bounds the queue; at 500 bytes a line it takes 2 MB.
	maxQueuedLines = 4096
	// writeBufferBytes is the size of the buffer that combines lines into one write.
	writeBufferBytes = 32 << 10
	// flushDelay bounds how long a line is delayed to be written together with others.
	flushDelay = 20 * time.Millisecond
)

// Writer is an io.Writer of whole lines that never blocks.
type Writer struct {
	queue        *ring.Queue[[]byte]
	unreported   atomic.Int64
	totalDropped atomic.Int64
	stop         chan struct{}
	done         chan struct{}
}

// New returns a writer whose lines are written to w until Close is called.
func New(w io.Writer) *Writer {
	l := &Writer{queue: ring.New[[]byte](maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues a copy of a line; it never fails, and drops the line if the queue is full.
func (l *Writer) Write(line []byte) (int, error) {
	copied := make([]byte, len(line))
	copy(copied, line)
	if !l.queue.Offer(copied) {
		l.unreported.Add(1)
		l.totalDropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (l *Writer) Dropped() int64 { return l.totalDropped.Load() }

// Close writes the queued lines and returns when they are written, or after timeout at the latest.
func (l *Writer) Close(timeout time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	out := bufio.NewWriterSize(w, writeBufferBytes)
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

// drain writes the queued lines. Write errors are ignored: there is nowhere to report them, and the lines are lost.
func (l *Writer) drain(out *bufio.Writer) {
	if l.queue.Len() == 0 {
		return
	}
	if n := l.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"logLinesDropped\"}\n", n)
	}
	for n := l.queue.Len(); n > 0; n-- {
		line, ok := l.queue.Poll()
		if !ok {
			break
		}
		_, _ = out.Write(line)
	}
	_ = out.Flush()
}

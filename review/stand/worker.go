//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots = 6
	workerQueue = 24
	workTime    = 30 * time.Millisecond
)

// arrival is a request that a worker ran.
type arrival struct {
	at       time.Time
	id, path string
	worker   *worker
	// answered reports that the response was written.
	answered bool
}

// worker is a stand-in of a worker of the plain service.
type worker struct {
	c       *cluster
	id      string
	zone    string
	address string
	born    int64
	server  *http.Server

	slots   chan struct{}
	running atomic.Int64
	waiting atomic.Int64

	mu       sync.Mutex
	sequence int64
	state    string
	silent   bool
	arrivals []*arrival
	// target is the index of the daemon that the worker reports to, until one of its heartbeats fails there.
	target int
}

func (c *cluster) newWorker(zone string, host int) (*worker, error) {
	w := &worker{
		c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: fmt.Sprintf("%s.%d:%d", c.subnet, host, c.ports.front), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, workerSlots), state: "ready", target: rand.IntN(len(c.controls)),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 15 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	c.workers = append(c.workers, w)
	c.wg.Go(w.sendHeartbeats)
	return w, nil
}

// close ends the worker at once, as the end of its process would.
func (w *worker) close() { _ = w.server.Close() }

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", w.running.Load(), w.waiting.Load(), workerSlots))
	id := r.Header.Get("X-Request-Id")
	reject := func(status int) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.waiting.Load() >= workerQueue {
		reject(http.StatusServiceUnavailable)
		return
	}
	w.waiting.Add(1)
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	w.running.Add(1)
	defer func() { w.running.Add(-1); <-w.slots }()
	a := &arrival{at: time.Now(), id: id, path: r.URL.Path, worker: w}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	time.Sleep(workTime)
	rw.Header().Set("X-Server-Stamp", w.id+"."+id)
	_, _ = fmt.Fprintf(rw, "answer of %s to %s\n", w.id, id)
	w.mu.Lock()
	a.answered = true
	w.mu.Unlock()
}

// sendHeartbeats sends heartbeats until the deployment ends or the worker falls silent.
func (w *worker) sendHeartbeats() {
	for w.c.ctx.Err() == nil {
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			return
		}
		w.heartbeat()
		select {
		case <-time.After(heartbeatPeriod):
		case <-w.c.ctx.Done():
		}
	}
}

// heartbeat sends one heartbeat, to another daemon if one does not answer.
func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": "desk", "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	for range w.c.controls {
		if status, _, err := w.c.call(w.daemon(), http.MethodPost, "/v1/Instances.Heartbeat/"+w.id, body); err == nil && status/100 == 2 || w.c.ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		w.target = (w.target + 1) % len(w.c.controls)
		w.mu.Unlock()
	}
}

// daemon returns the control daemon that the worker reports to.
func (w *worker) daemon() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.c.controls[w.target]
}

// since returns the requests that the worker ran at or after a time.
func (w *worker) since(at time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []arrival
	for _, a := range w.arrivals {
		if !a.at.Before(at) {
			all = append(all, *a)
		}
	}
	return all
}

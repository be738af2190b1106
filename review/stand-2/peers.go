//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatPeriod is heartbeat_ms of the settings.
const heartbeatPeriod = 1200 * time.Millisecond

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

// worker is a sound worker of a service.
type worker struct {
	f                          *fleet
	id, service, zone, version string
	address                    string
	slots                      int
	born                       int64
	work                       time.Duration
	server                     *http.Server
	stop                       context.CancelFunc
	mu                         sync.Mutex
	sequence                   int64
	draining                   bool
	coldUntil                  time.Time
	arrivals                   []arrival
	running                    atomic.Int64
	// coldCrash is the number of requests in a second above which the cold worker crashes; zero for none.
	coldCrash int
	crashed   atomic.Bool
}

// startWorker starts a worker that announces itself to the control daemons.
func (f *fleet) startWorker(id, service, zone string, slots int, work time.Duration) (*worker, error) {
	f.workers++
	w := &worker{
		f: f, id: id, service: service, zone: zone, version: "v1", slots: slots, work: work, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s.3.%d:%d", f.network, f.workers, workerPort),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.announce(ctx)
	return w, nil
}

// close ends the worker as a process that ends.
func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	if w.arrive(id) {
		w.crash()
		return
	}
	w.f.record.printf("%s gets request %s (from %s)", w.id, id, r.RemoteAddr)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Server-Stamp", "stamp-"+w.id)
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, w.slots))
	_, _ = fmt.Fprintf(rw, "%s %s %s %x", w.id, r.Method, r.URL.Path, len(body))
}

// arrive records a request, and reports whether it makes the worker crash.
func (w *worker) arrive(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.arrivals = append(w.arrivals, arrival{id: id, at: now})
	if w.coldCrash <= 0 || now.After(w.coldUntil) {
		return false
	}
	n := 0
	for _, a := range w.arrivals {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n > w.coldCrash
}

// crash ends the worker without notice.
func (w *worker) crash() {
	if w.crashed.CompareAndSwap(false, true) {
		w.f.record.printf("%s crashes, as it got more than %d requests in a second while it was cold; it runs %d", w.id, w.coldCrash, w.running.Load())
		go w.close()
	}
}

// arrivalsAfter returns the requests that reached the worker after a time.
func (w *worker) arrivalsAfter(t time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []arrival
	for _, a := range w.arrivals {
		if a.at.After(t) {
			all = append(all, a)
		}
	}
	return all
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"cold_remaining_ms": max(time.Until(w.coldUntil).Milliseconds(), 0), "sequence": w.sequence, "born": w.born,
	}
}

// beat sends one heartbeat, to the next daemon if one does not acknowledge it, and returns when it was acknowledged.
func (w *worker) beat() (time.Time, bool) {
	body := w.heartbeat()
	for _, i := range rand.Perm(len(w.f.controls)) {
		if status := w.f.control(i, "POST", "/v1/Instances.Heartbeat/"+w.id, body); status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// awaitBeat waits for the next heartbeat.
func (w *worker) awaitBeat() {
	sequence := func() int64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.sequence
	}
	for before := sequence(); sequence() == before; {
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) announce(ctx context.Context) {
	for {
		w.beat()
		select {
		case <-time.After(heartbeatPeriod):
		case <-ctx.Done():
			return
		}
	}
}

// control calls a control daemon and returns the status, or zero without an answer within a second.
func (f *fleet) control(i int, method, path string, body any) int {
	status, _ := f.call(f.controls[i].address(controlPort), method, path, body)
	return status
}

func (f *fleet) call(address, method, path string, body any) (int, []byte) {
	var b []byte
	switch v := body.(type) {
	case nil:
	case []byte:
		b = v
	default:
		b, _ = json.Marshal(v)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// order sends an order of the operator until a daemon acknowledges it.
func (f *fleet) order(method, path string, body any, limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range rand.Perm(len(f.controls)) {
			if status := f.control(i, method, path, body); status/100 == 2 {
				f.record.printf("%s %s is acknowledged by %s", method, path, f.controls[i].name)
				return time.Now(), nil
			} else if status/100 == 4 {
				return time.Time{}, fmt.Errorf("%s %s: status %d", method, path, status)
			}
		}
	}
	return time.Time{}, fmt.Errorf("%s %s is not acknowledged", method, path)
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	stamp  string
	body   string
	err    error
}

// client sends requests to gateways over kept connections.
type client struct {
	f    *fleet
	http *http.Client
	mu   sync.Mutex
	all  []answer
	next atomic.Int64
}

func (f *fleet) newClient() *client {
	return &client{f: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request to a gateway and records the answer.
func (c *client) send(gateway int, method, host, path string, header map[string]string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("r%06d", c.next.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + a.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.f.gateways[gateway].address(frontPort)+path, body)
	if err == nil {
		req.Host = host
		req.Header.Set("X-Request-Id", a.id)
		req.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
		for k, v := range header {
			req.Header.Set(k, v)
		}
		var resp *http.Response
		if resp, err = c.http.Do(req); err == nil {
			a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
			var b []byte
			b, err = io.ReadAll(resp.Body)
			a.body = string(b)
			_ = resp.Body.Close()
		}
	}
	a.err = err
	c.f.record.printf("request %s, sent at %.3f to %s: status %d, stamp %q, %v", a.id, c.f.record.at(a.sentAt), c.f.gateways[gateway].name, a.status, a.stamp, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
	return a
}

// failedOf returns how many of the requests that arrived at a worker were not answered with success.
func (c *client) failedOf(all []arrival) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := map[string]bool{}
	for _, a := range c.all {
		served[a.id] = a.err == nil && a.status == http.StatusOK
	}
	n := 0
	for _, a := range all {
		if !served[a.id] {
			n++
		}
	}
	return n
}

// sentTimes returns when each request that has ended was sent.
func (c *client) sentTimes() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[string]time.Time{}
	for _, a := range c.all {
		sent[a.id] = a.sentAt
	}
	return sent
}

// load sends requests at a rate to the gateways in turn until ctx ends.
func (c *client) load(ctx context.Context, perSecond int, gateways []int, method, host, path string, deadline time.Duration) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-t.C:
			wg.Go(func() { c.send(gateways[i%len(gateways)], method, host, path, nil, deadline) })
		case <-ctx.Done():
			return
		}
	}
}

// awaitServed waits until a gateway serves a request.
func (c *client) awaitServed(gateway int, method, host, path string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := c.send(gateway, method, host, path, nil, time.Second); a.err == nil && a.status == http.StatusOK {
			return nil
		}
	}
	return errors.New("nothing is served")
}

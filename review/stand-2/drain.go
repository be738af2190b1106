//go:build review2

package main

import (
	"context"
	"fmt"
	"time"
)

// drainTime is drain_ms of the settings.
const drainTime = 4 * time.Second

const (
	plainHost = "desk.example"
	plainPath = "/orders/"
)

// plainConfig is a config with one route to a plain service.
func plainConfig(kind string) map[string]any {
	return map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "orders", "host": plainHost, "path_prefix": plainPath, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1,
			"service": "desk", "max_attempts": 1, "session_affinity": false, "resumable": false, "gap_aim_ms": 0, "home_regions": []string{},
		}},
		"services": []any{map[string]any{
			"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 4.1,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// playDrain has another writer send one heartbeat for a worker, without a field, before the worker drains.
func playDrain(r *record, trouble bool) error {
	f, err := startFleet(r, layout{controls: []string{"a", "a", "a"}, gateways: []string{"a", "a"}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	var workers []*worker
	for i := range 3 {
		w, err := f.startWorker(fmt.Sprintf("i-%d", i+1), "desk", "a", 6, 200*time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		workers = append(workers, w)
	}
	if _, err := f.order("POST", "/v1/Config.Put", plainConfig("unsafe"), 20*time.Second); err != nil {
		return err
	}
	c := f.newClient()
	for g := range f.gateways {
		if err := c.awaitServed(g, "POST", plainHost, plainPath+"1", 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(ctx, 40, []int{0, 1}, "POST", plainHost, plainPath+"1", 3*time.Second)
	}()
	defer func() { stop(); <-done }()
	time.Sleep(2 * time.Second)
	leaving := workers[0]
	if trouble {
		h := leaving.heartbeat()
		delete(h, "version")
		h["sequence"] = time.Now().UnixMilli()
		status := f.control(0, "POST", "/v1/Instances.Heartbeat/"+leaving.id, h)
		r.printf("another writer sends a heartbeat of %s without version, its sequence is the time: status %d", leaving.id, status)
	}
	time.Sleep(2 * time.Second)
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	acked, ok := leaving.beat()
	if !ok {
		return fmt.Errorf("the heartbeat with draining is not acknowledged")
	}
	r.printf("%s is draining, acknowledged", leaving.id)
	time.Sleep(drainTime + 4*time.Second)
	late := leaving.arrivalsAfter(acked.Add(drainTime))
	r.printf("%s got %d requests later than %v after the acknowledgement", leaving.id, len(late), drainTime)
	// The worker says goodbye and ends, with what it runs.
	f.control(0, "POST", "/v1/Instances.Deregister/"+leaving.id, map[string]any{"born": leaving.born})
	leaving.close()
	time.Sleep(time.Second)
	r.printf("%d requests that reached it so late got no success", c.failedOf(late))
	if len(late) > 0 {
		return fmt.Errorf("%w: %d requests reached %s later than %v after it was acknowledged as draining", errBroken, len(late), leaving.id, drainTime)
	}
	return nil
}

//go:build review

package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// runEvacuation evacuates a second zone, and kills all processes of the core right after the acknowledgement. They are back within a
// second, one after the other.
func runEvacuation(c *cluster, trouble bool) (int, error) {
	if err := c.settle(nil); err != nil {
		return failed, err
	}
	const earlier, later = "grandport-2", "plateau-2"
	if _, err := c.order("evacuation of "+earlier, "/v1/Evacuation.Start/"+earlier, nil, 0, 8*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(evacuateTime + 3*time.Second)
	if _, err := c.order("evacuation of "+later, "/v1/Evacuation.Start/"+later, nil, 0, 8*time.Second); err != nil {
		return failed, err
	}
	acknowledged := time.Now()
	if trouble {
		if err := c.killCore(); err != nil {
			return failed, err
		}
		c.printf("all %d processes of the core are killed", len(c.controls))
		for _, p := range c.controls {
			p.wait(time.Second)
		}
		for _, p := range c.controls {
			time.Sleep(180 * time.Millisecond)
			if err := c.restart(p); err != nil {
				return failed, err
			}
		}
	}
	calmAgain := time.Now().Add(connectivityWindow)
	// The bound holds from machines in touch; the longest stretch is granted although it holds only while the core is unstable.
	from := acknowledged.Add(evacuateTime + maxStretch)
	if calmAgain.Add(time.Second).After(from) {
		from = calmAgain.Add(time.Second)
	}
	time.Sleep(time.Until(from.Add(6 * time.Second)))
	c.printf("clients' answers by status: %s", c.clients.summary(acknowledged, time.Now()))
	late := map[string]int{}
	total := 0
	for _, w := range c.workers {
		if w.zone == earlier {
			c.printf("worker %s in %s, evacuated before: %d requests", w.id, w.zone, len(w.since(from)))
		}
		if w.zone != later {
			continue
		}
		for _, a := range w.since(from) {
			s := c.clients.get(a.id)
			if s.at.Before(from) {
				continue
			}
			if total++; total <= 20 {
				c.printf("request %s, sent to %s %.3f s after the acknowledgement, runs at worker %s in %s", a.id, s.gateway, s.at.Sub(acknowledged).Seconds(), w.id, w.zone)
			}
			late[s.gateway]++
		}
	}
	c.printf("requests sent %.1f s or more after the acknowledgement that ran in %s: %d, by the gateway that took them: %v", from.Sub(acknowledged).Seconds(), later, total, late)
	c.dump(from.Add(-time.Second))
	if total > 0 {
		return broken, nil
	}
	return held, nil
}

// runDeregistration has a worker deregister first and serve on, and kills the control daemon that acknowledged this.
func runDeregistration(c *cluster, trouble bool) (int, error) {
	if err := c.settle(nil); err != nil {
		return failed, err
	}
	// The region of this worker has most gateways.
	leaving, users := c.workers[2*workersPerZone], c.sessions()
	// The worker calls a daemon with which few gateways of its region have their sessions.
	least := func(d *process) (n int) {
		for _, g := range users[d] {
			if region(g.zone) == region(leaving.zone) {
				n++
			}
		}
		return n
	}
	at := slices.MinFunc(c.controls, func(a, b *process) int { return least(a) - least(b) })
	c.printf("%d gateways of the worker's region have their sessions with %s", least(at), at.name)
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	body, _ := json.Marshal(map[string]any{"born": leaving.born})
	status, _, err := c.call(at, http.MethodPost, "/v1/Instances.Deregister/"+leaving.id, body)
	if err != nil || status/100 != 2 {
		return failed, errors.New("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		at.signal(syscall.SIGKILL)
	}
	c.printf("worker %s deregisters at %s, which acknowledges with %d", leaving.id, at.name, status)
	if trouble {
		c.printf("%s is killed", at.name)
		at.wait(time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := c.restart(at); err != nil {
			return failed, err
		}
	}
	from := time.Now().Add(connectivityWindow + time.Second)
	if bound := acknowledged.Add(drainTime); bound.After(from) {
		from = bound
	}
	// The worker serves on for drain_ms and many seconds more.
	ends := acknowledged.Add(drainTime + 10*time.Second)
	time.Sleep(time.Until(ends))
	total, gateways := 0, map[string]int{}
	for _, a := range leaving.since(from) {
		s := c.clients.get(a.id)
		if s.at.Before(from) {
			continue
		}
		if total++; total <= 20 {
			c.printf("request %s, sent to %s %.3f s after the acknowledgement, runs at worker %s", a.id, s.gateway, s.at.Sub(acknowledged).Seconds(), leaving.id)
		}
		gateways[s.gateway]++
	}
	c.printf("worker %s ends, with %d requests running", leaving.id, leaving.running.Load())
	leaving.close()
	time.Sleep(5 * time.Second)
	cut := 0
	for _, a := range leaving.since(acknowledged) {
		if s := c.clients.get(a.id); s.stamp != leaving.id+"."+a.id {
			c.printf("request %s to %s, which worker %s ran, is answered with status %d", a.id, s.path, leaving.id, s.status)
			cut++
		}
	}
	c.printf("requests sent %.1f s or more after the acknowledgement that ran at the worker: %d, by gateway: %v; requests that it ran and whose answer did not come: %d", from.Sub(acknowledged).Seconds(), total, gateways, cut)
	c.dump(from.Add(-time.Second))
	if total > 0 {
		return broken, nil
	}
	return held, nil
}

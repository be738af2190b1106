//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// runSilence has the streams of reports from the other control daemons to one of them go silent, as open channels may. A worker that
// reports to another daemon then drains.
func runSilence(c *cluster, trouble bool) (int, error) {
	proxies := map[*process]*proxy{}
	for _, p := range c.controls[1:3] {
		x, err := c.interpose(p)
		if err != nil {
			return failed, err
		}
		defer x.close()
		proxies[p] = x
	}
	hasUsers := func() bool {
		_, users := c.chooseDaemon(c.controls[1:3])
		return len(users) > 0
	}
	if err := c.settle(hasUsers); err != nil {
		return failed, err
	}
	deaf, users := c.chooseDaemon(c.controls[1:3])
	if len(users) == 0 {
		return failed, errors.New("no gateway has its session with a daemon behind a proxy")
	}
	var leaving *worker
	for _, w := range c.workers {
		if region(w.zone) == region(users[0].zone) && w.daemon() != deaf {
			leaving = w
		}
	}
	if leaving == nil {
		return failed, errors.New("all workers of the region report to that daemon")
	}
	c.printf("%s has the sessions of %d gateways, %s among them; worker %s of its region reports to %s", deaf.name, len(users), users[0].name, leaving.id, leaving.daemon().name)
	c.printf("connections of others to it (pieces sent, pieces and bytes answered): %v", proxies[deaf].describe())
	if trouble {
		n := proxies[deaf].silenceOneWay(3*time.Second, 24)
		c.printf("%d open connections of others to it go silent, in both directions; new ones work", n)
		if n == 0 {
			return failed, errors.New("there was no such connection")
		}
	}
	time.Sleep(connectivityWindow + 2*time.Second)
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	leaving.heartbeat()
	acknowledged := time.Now()
	c.printf("worker %s reports draining to %s, which acknowledges it", leaving.id, leaving.daemon().name)
	from := acknowledged.Add(drainTime + 500*time.Millisecond)
	time.Sleep(time.Until(acknowledged.Add(drainTime + 10*time.Second)))
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
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": leaving.born})
	status, _, err := c.call(leaving.daemon(), http.MethodPost, "/v1/Instances.Deregister/"+leaving.id, body)
	c.printf("worker %s deregisters at %s (status %d, %v) and ends, with %d requests running", leaving.id, leaving.daemon().name, status, err, leaving.running.Load())
	leaving.close()
	time.Sleep(4 * time.Second)
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

// shift is the distance of the port range in which a daemon behind a proxy listens.
const shift = 40

// interpose puts a proxy before a control daemon: others connect to it where the port range of the deployment says, and it listens
// in a range of its own.
func (c *cluster) interpose(p *process) (*proxy, error) {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return nil, err
	}
	text = bytes.Replace(text, portRange(c.ports.internal), portRange(c.ports.internal+shift), 1)
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return nil, err
	}
	return newProxy(c.address(p, c.ports.internal), c.address(p, c.ports.internal+shift))
}

// chooseDaemon returns the daemon with which most gateways have their sessions, and these gateways.
func (c *cluster) chooseDaemon(daemons []*process) (*process, []*process) {
	users := c.sessions()
	best := daemons[0]
	for _, d := range daemons {
		if len(users[d]) > len(users[best]) {
			best = d
		}
	}
	return best, users[best]
}

// sessions returns the gateways that have their sessions with each control daemon, by their logs.
func (c *cluster) sessions() map[*process][]*process {
	users := map[*process][]*process{}
	for _, g := range c.gateways {
		text, _ := os.ReadFile(filepath.Join(c.dir, g.name+".log"))
		last := []byte(nil)
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte("subscribed to control daemon")) {
				last = bytes.Clone(line)
			}
		}
		var entry struct {
			Control string `json:"control"`
		}
		_ = json.Unmarshal(last, &entry)
		for _, d := range c.controls {
			if entry.Control == c.address(d, c.ports.internal) {
				users[d] = append(users[d], g)
			}
		}
	}
	return users
}

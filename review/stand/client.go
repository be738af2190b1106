//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client.
type sent struct {
	at       time.Time
	took     time.Duration
	id, path string
	gateway  string
	// status is that of the answer; zero if the channel ended without one.
	status int
	stamp  string
	body   string
}

// clients are the clients of all regions.
type clients struct {
	mu   sync.Mutex
	sent map[string]*sent
}

// startClients starts n clients in each zone, each of which sends a request every period.
func (c *cluster) startClients(n int, period time.Duration) {
	c.clients = &clients{sent: map[string]*sent{}}
	for _, zone := range c.zones {
		for range n {
			c.wg.Go(func() { c.runClient(zone, period) })
		}
	}
}

// runClient asks a directory where to connect, as often as its answers say, and sends requests over kept channels.
func (c *cluster) runClient(zone string, period time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, Proxy: nil}, Timeout: 3500 * time.Millisecond}
	defer client.CloseIdleConnections()
	var addresses []string
	var until time.Time
	for c.ctx.Err() == nil {
		if time.Now().After(until) {
			if found := c.resolve(zone); len(found) > 0 {
				addresses, until = found, time.Now().Add(time.Second)
			}
		}
		if len(addresses) > 0 {
			c.send(client, addresses[rand.IntN(len(addresses))])
		}
		select {
		case <-time.After(time.Duration(float64(period) * (0.5 + rand.Float64()))):
		case <-c.ctx.Done():
		}
	}
}

// resolve asks up to three directories, nearest first.
func (c *cluster) resolve(zone string) []string {
	var near, far []*process
	for _, i := range rand.Perm(len(c.controls)) {
		if p := c.controls[i]; region(p.zone) == region(zone) {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	client := newClient(time.Second)
	for _, p := range append(near, far...)[:3] {
		resp, err := client.Get("http://" + c.address(p, c.ports.directory) + "/v1/resolve?" + url.Values{"name": {"desk.example"}, "region": {region(zone)}, "zone": {zone}}.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

func (c *cluster) send(client *http.Client, address string) {
	s := &sent{at: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), gateway: address}
	method, body := http.MethodGet, io.Reader(nil)
	s.path = "/status/" + s.id
	if rand.IntN(3) == 0 {
		method, body = http.MethodPost, strings.NewReader("booking "+s.id)
		s.path = "/book/" + s.id
	}
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+address+s.path, body)
	if err != nil {
		return
	}
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("X-Request-Deadline", "3000")
	c.clients.mu.Lock()
	c.clients.sent[s.id] = s
	c.clients.mu.Unlock()
	resp, err := client.Do(req)
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			c.clients.mu.Lock()
			s.status, s.stamp, s.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text)
			c.clients.mu.Unlock()
		}
	}
	c.clients.mu.Lock()
	s.took = time.Since(s.at)
	c.clients.mu.Unlock()
}

// get returns a copy of a request.
func (c *clients) get(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sent[id]; s != nil {
		return *s
	}
	return sent{}
}

// summary counts the answers to the requests that were sent from a time until another.
func (c *clients) summary(from, to time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, s := range c.sent {
		if !s.at.Before(from) && s.at.Before(to) {
			counts[s.status]++
		}
	}
	return fmt.Sprint(counts)
}

// dump writes one line for each request that was sent from a time on: when, the way, the answer, and at which workers it ran.
func (c *cluster) dump(from time.Time) {
	ran := map[string]string{}
	for _, w := range c.workers {
		for _, a := range w.since(from) {
			ran[a.id] += fmt.Sprintf(" ran at %.3f at %s (%s)", a.at.Sub(c.began).Seconds(), w.id, w.zone)
		}
	}
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	all := make([]*sent, 0, len(c.clients.sent))
	for _, s := range c.clients.sent {
		if !s.at.Before(from) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *sent) int { return a.at.Compare(b.at) })
	c.printf("requests from %.3f on: sent at, path, gateway, status (0: none), ms; where it ran", from.Sub(c.began).Seconds())
	for _, s := range all {
		c.printf("  %.3f %s %s %d %d%s", s.at.Sub(c.began).Seconds(), s.path, s.gateway, s.status, s.took.Milliseconds(), ran[s.id])
	}
}

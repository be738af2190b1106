//go:build review2

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// coldBound is cold_per_s x cold_burst_factor + cold_slack.
const coldBound = 9.15

// coldCrash is the rate, well above the bound, at which a cold worker crashes.
const coldCrash = 30

// playCold ends the evacuation of a zone whose workers have become cold shortly before, and kills the gateways at that moment.
func playCold(r *record, trouble bool) error {
	f, err := startFleet(r, layout{controls: []string{"a", "a", "a"}, gateways: []string{"a", "a"}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	var workers []*worker
	for i := range 4 {
		w, err := f.startWorker(fmt.Sprintf("i-%d", i+1), "desk", "a", 12, 20*time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		w.coldCrash = coldCrash
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
		c.load(ctx, 240, []int{0, 1}, "POST", plainHost, plainPath+"1", 3*time.Second)
	}()
	defer func() { stop(); <-done }()
	time.Sleep(time.Second)
	if _, err := f.order("POST", "/v1/Evacuation.Start/a", nil, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	// The workers send their heartbeats at about the same time, and become cold after one.
	workers[0].awaitBeat()
	time.Sleep(50 * time.Millisecond)
	for _, w := range workers {
		w.mu.Lock()
		w.coldUntil = time.Now().Add(3 * time.Second)
		w.mu.Unlock()
	}
	r.printf("the workers have become cold")
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	if _, err := f.order("POST", "/v1/Evacuation.End/a", nil, 5*time.Second); err != nil {
		return err
	}
	if trouble {
		for _, g := range f.gateways {
			g.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(5 * time.Second)
	lost, sent := 0, c.sentTimes()
	for _, w := range workers {
		most := mostInSecond(w.arrivalsAfter(began), sent, w.coldUntil)
		if w.crashed.Load() {
			lost += c.failedOf(w.arrivalsAfter(began))
		}
		r.printf("%s got at most %d requests in one second while it was cold; the bound is %.2f", w.id, most, coldBound)
		if float64(most) > coldBound {
			err = fmt.Errorf("%w: cold worker %s got %d requests in one second, more than %.2f", errBroken, w.id, most, coldBound)
		}
	}
	r.printf("%d requests that reached workers which crashed got no success", lost)
	return err
}

// mostInSecond returns the largest number of requests that were sent and arrived inside one second, before a time.
func mostInSecond(arrivals []arrival, sent map[string]time.Time, before time.Time) int {
	most := 0
	for _, first := range arrivals {
		start, n := sent[first.id], 0
		for _, a := range arrivals {
			if s, ok := sent[a.id]; ok && !s.Before(start) && a.at.Before(start.Add(time.Second)) && a.at.Before(before) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

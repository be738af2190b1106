//go:build review

// Command stand plays the cases of the review: it starts the project's programs as separate processes on loopback addresses, with
// stand-ins of clients, workers and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const workersPerZone = 2

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(c *cluster, trouble bool) (int, error){
		"evacuation": runEvacuation, "deregistration": runDeregistration, "silence": runSilence,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(c *cluster, trouble bool) (int, error), program, path string) int {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	rec := &record{f: f, began: time.Now()}
	defer rec.flush()
	c, err := newCluster(rec, program, []int{1, 1, 1, 1, 1, 0}, []int{1, 1, 4, 4, 1, 1})
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	defer c.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-interrupted; c.stop(); rec.flush(); os.Exit(failed) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("trouble: %t", trouble)
	status, err := play(c, trouble)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	rec.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[status])
	return status
}

// settle starts the deployment with two workers in each zone and clients, and waits until it has been calm for the connectivity
// window. If ready is not nil, the gateways are restarted before the clients start, until it returns true: a gateway has its session
// with the control daemon that answers first.
func (c *cluster) settle(ready func() bool) error {
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if _, err := c.order("config 1", "/v1/Config.Put", config(1), 0, 20*time.Second); err != nil {
		return err
	}
	for z, zone := range c.zones {
		for i := range workersPerZone {
			w, err := c.newWorker(zone, 100+10*z+i)
			if err != nil {
				return err
			}
			c.printf("worker %s at %s in %s starts", w.id, w.address, zone)
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	for i := 0; ready != nil && !ready() && i < 8; i++ {
		for _, p := range c.gateways {
			p.signal(syscall.SIGKILL)
			p.wait(time.Second)
			if err := p.start(c.program, 0); err != nil {
				return err
			}
		}
		c.printf("all gateways were restarted")
		if err := c.awaitReady(20 * time.Second); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.startClients(4, 100*time.Millisecond)
	from := time.Now()
	time.Sleep(connectivityWindow + time.Second)
	c.printf("clients' answers by status while calm: %s", c.clients.summary(from, time.Now()))
	return nil
}

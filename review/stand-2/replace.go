//go:build review2

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// successorDelay is the x of replace_core: the time from the loss of a machine to the start of its successor.
	successorDelay = time.Second
	// catchUpTime is catch_up_s, after which the loss of a replaced machine no longer counts.
	catchUpTime = 4 * time.Second
	// replacements is the number of machines that are replaced one after the other.
	replacements = 5
	// readTime is the time in which the config is read back: the recovery time of the settings and the operator's window.
	readTime = 18 * time.Second
)

// playReplace replaces machines of the core one after the other, each when the one before no longer counts as lost.
func playReplace(r *record, trouble bool) error {
	f, err := startFleet(r, layout{controls: []string{"a", "a", "a", "a", "a"}, gateways: []string{"a"}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	if _, err := f.order("POST", "/v1/Config.Put", plainConfig("safe"), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for i := range replacements {
		if !trouble {
			time.Sleep(successorDelay + catchUpTime)
			continue
		}
		leader := -1
		for end := time.Now().Add(5 * time.Second); leader < 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			leader = f.leader()
		}
		if leader < 0 {
			r.printf("no daemon leads")
			break
		}
		r.printf("%s leads, and is lost for good", f.controls[leader].name)
		f.retire(leader)
		time.Sleep(successorDelay)
		var seeds []string
		for _, j := range rand.Perm(len(f.controls))[:3] {
			seeds = append(seeds, f.controls[j].address(controlPort))
		}
		if err := f.startControl(6+i, "a", seeds, false); err != nil {
			return err
		}
		time.Sleep(catchUpTime + 100*time.Millisecond)
	}
	r.printf("%d machines of the core run", len(f.controls))
	config := plainConfig("safe")
	config["version"] = 5
	if _, err := f.order("POST", "/v1/Config.Put", config, readTime); err != nil {
		r.printf("%v", err)
	}
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range rand.Perm(len(f.controls)) {
			status, body := f.call(f.controls[i].address(controlPort), "GET", "/v1/Config.Get", nil)
			r.printf("Config.Get at %s: status %d", f.controls[i].name, status)
			if status == http.StatusOK && bytes.Contains(body, []byte(`"version":`)) {
				r.printf("read back: %s", body)
				return nil
			}
		}
	}
	return fmt.Errorf("%w: version 2 was acknowledged, and the config could not be read back within %v", errBroken, readTime)
}

//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// bigConfig returns a configuration with n further routes.
func bigConfig(version, n int) []byte {
	var c map[string]any
	_ = json.Unmarshal(config(version), &c)
	routes := c["routes"].([]any)
	for i := range n {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": "desk.example", "path_prefix": fmt.Sprintf("/idle%06d/", i), "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "service": "desk",
			"max_attempts": 2, "session_affinity": false, "resumable": false, "gap_aim_ms": 0, "home_regions": []string{},
		})
	}
	c["routes"] = routes
	text, _ := json.Marshal(c)
	return text
}

// rss returns the resident memory of a process in MB, and its peak.
func rss(p *process) (now, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, 0
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ":")
		n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "VmRSS":
			now = n / 1024
		case "VmHWM":
			peak = n / 1024
		}
	}
	return now, peak
}

func runMemory(c *cluster, trouble bool) (int, error) {
	if err := c.settle(); err != nil {
		return failed, err
	}
	n, _ := strconv.Atoi(os.Getenv("ROUTES"))
	began := time.Now()
	for v := 2; v < 400 && time.Since(began) < 80*time.Second; v++ {
		if _, err := c.order(fmt.Sprintf("config %d of %d bytes", v, len(bigConfig(v, n))), "/v1/Config.Put", bigConfig(v, n), 0, 8*time.Second); err != nil {
			return failed, err
		}
		if v%20 == 0 {
			var all []string
			for _, p := range c.controls {
				now, peak := rss(p)
				all = append(all, fmt.Sprintf("%d/%d", now, peak))
			}
			for _, p := range c.gateways[:2] {
				now, peak := rss(p)
				all = append(all, fmt.Sprintf("gw %d/%d", now, peak))
			}
			c.printf("version %d: MB now/peak %v", v, all)
			c.flush()
		}
	}
	return held, nil
}

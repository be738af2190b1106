package trace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits are the times up to which an answer is on time.
type Limits struct {
	// First is the time from the arrival of a request until its answer begins, and Pause the longest time between two
	// events of a stream.
	First, Pause time.Duration
}

// Losses counts the requests of each route by how they ended at the gateways that received them from callers. Use
// NewLosses to create it.
type Losses struct {
	limits Limits
	counts map[string]map[string]int
}

// NewLosses returns an empty count.
func NewLosses(limits Limits) *Losses {
	return &Losses{limits: limits, counts: map[string]map[string]int{}}
}

// Add counts a line if it is the last one about a request. Lines about forwarded requests at the receiving gateway are
// left out, as the forwarding one logs the end, too.
func (c *Losses) Add(l Line) {
	route := l.text("route")
	if route == "" || l.flag("forwarded") {
		return
	}
	cause, ended := c.cause(l)
	if !ended {
		return
	}
	if c.counts[route] == nil {
		c.counts[route] = map[string]int{}
	}
	c.counts[route][cause]++
}

// cause returns how a request ended, and whether the line is about its end.
func (c *Losses) cause(l Line) (string, bool) {
	switch l.Message {
	case "refused":
		detail, _, _ := strings.Cut(l.text("detail"), ":")
		return strings.Join([]string{"refused", l.text("reason"), detail}, ", "), true
	case "callerLeft":
		return "caller left", true
	case "served":
		return c.servedCause(l), true
	default:
		return "", false
	}
}

// servedCause returns how an answer that an endpoint gave ended.
func (c *Losses) servedCause(l Line) string {
	var parts []string
	switch {
	case l.text("outcome") != "answered":
		parts = append(parts, "broken, "+l.text("outcome"))
	case l.millis("first") > c.limits.First:
		parts = append(parts, "first piece late")
	case l.millis("longestPause") > c.limits.Pause:
		parts = append(parts, "pause too long")
	default:
		parts = append(parts, "on time")
	}
	if l.text("toRegion") != "" {
		parts = append(parts, "forwarded")
	}
	if l.number("attempts") > 1 {
		parts = append(parts, "repeated")
	}
	return strings.Join(parts, ", ")
}

// Loss is the number of requests of a route that ended in one way.
type Loss struct {
	Route, Cause string
	Requests     int
	// Share is the part of the route's requests.
	Share float64
}

// String returns the loss as a line of a table.
func (l Loss) String() string {
	return fmt.Sprintf("%-16s %8d %6.1f%%  %s", l.Route, l.Requests, 100*l.Share, l.Cause)
}

// Table returns the losses ordered by route, most frequent first.
func (c *Losses) Table() []Loss {
	var all []Loss
	for route, causes := range c.counts {
		total := 0
		for _, n := range causes {
			total += n
		}
		for cause, n := range causes {
			all = append(all, Loss{Route: route, Cause: cause, Requests: n, Share: float64(n) / float64(total)})
		}
	}
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	})
	return all
}

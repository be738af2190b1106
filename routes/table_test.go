package routes

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestHomeRegions checks that HomeRegions returns only the regions that all restricted routes of a host allow.
func TestHomeRegions(t *testing.T) {
	route := func(host, prefix string, homeRegions ...string) Route {
		return Route{
			Name: prefix, Host: host, PathPrefix: prefix, Kind: Safe, Timeout: time.Second, MaxAttempts: 1, HomeRegions: homeRegions,
			Backends: []Backend{{Service: "desk", Weight: 1}},
		}
	}
	table, err := New(1, []Route{
		route("free", "/a/"), route("one", "/a/"), route("one", "/b/", "lahore", "karachi"),
		route("two", "/a/", "lahore", "karachi"), route("two", "/b/", "karachi"),
		route("apart", "/a/", "lahore"), route("apart", "/b/", "karachi"),
	}, []Service{{Name: "desk"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for host, want := range map[string]struct {
		shared, some []string
		restricted   bool
	}{
		"free":    {},
		"one":     {[]string{"lahore", "karachi"}, []string{"lahore", "karachi"}, true},
		"ONE":     {[]string{"lahore", "karachi"}, []string{"lahore", "karachi"}, true},
		"two":     {[]string{"karachi"}, []string{"lahore", "karachi"}, true},
		"apart":   {[]string{}, []string{"lahore", "karachi"}, true},
		"unknown": {},
	} {
		shared, some, restricted := table.HomeRegions(host)
		if !cmp.Equal(shared, want.shared) || !cmp.Equal(some, want.some) || restricted != want.restricted {
			t.Errorf("%s: %v, %v, %v", host, shared, some, restricted)
		}
		if table.Serves(host) != (host != "unknown") {
			t.Errorf("%s: served %v", host, table.Serves(host))
		}
	}
}

// TestMovedRouteEndsStream guards against streams in progress that may not go on after their route has moved to another service, and
// against resumed ones that go on at the old service.
func TestMovedRouteEndsStream(t *testing.T) {
	r := Route{Backends: []Backend{{Service: "counter", Weight: 1}}}
	for _, c := range []struct {
		service          string
		inProgress, want bool
	}{{"counter", false, true}, {"counter", true, true}, {"desk", false, false}, {"desk", true, true}} {
		if got := r.GoesOnAt(c.service, c.inProgress); got != c.want {
			t.Errorf("service %s, in progress %v: %v", c.service, c.inProgress, got)
		}
	}
}

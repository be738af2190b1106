package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of a gateway that stops: until when it lingers and is closing, and how long its process runs at most.
const (
	seriesLingering = 1800 * time.Millisecond
	seriesClosing   = 6700 * time.Millisecond
	seriesGrace     = 8 * time.Second
	// seriesAbsence is how long callers may be named no gateway once all of their region are gone for good.
	seriesAbsence = 5 * time.Second
)

// stoppingGateway is a gateway that stops once, and starts again unless it leaves for good.
type stoppingGateway struct {
	name, region string
	// stop, end and back are when the stop begins, the process ends, and a new one has a session; ready is when that one
	// accepts requests.
	stop, end, back, ready time.Duration
	leaves                 bool
	// delay is how long a report takes to reach the directory, and phase when its first periodic report is sent.
	delay, phase time.Duration
}

// at returns the state of the gateway, and whether its process runs.
func (s stoppingGateway) at(now time.Duration) (g Gateway, runs bool) {
	g = Gateway{Name: s.name, Region: s.region, Born: 1}
	elapsed := now - s.stop
	switch {
	case elapsed < 0:
		g.Ready = true
	case now < s.end:
		g.Lingering, g.Closing = elapsed < seriesLingering, elapsed >= seriesLingering && elapsed < min(seriesClosing, s.end-s.stop-200*time.Millisecond)
	case s.leaves || now < s.back:
		return g, false
	default:
		g.Born, g.Ready = 2, now >= s.ready
	}
	return g, true
}

// series plays stops before a table of gateways, and calls check with the list of a directory at each step.
func series(all []stoppingGateway, duration time.Duration, check func(now time.Duration, known []Gateway)) {
	const step = 50 * time.Millisecond
	type report struct {
		due time.Duration
		g   Gateway
	}
	start := time.Unix(1000, 0)
	table := NewGateways(3 * time.Second)
	var reports []report
	last := map[string]Gateway{}
	for now := time.Duration(0); now < duration; now += step {
		for _, s := range all {
			g, runs := s.at(now)
			if periodic := (now+s.phase)%(500*time.Millisecond) == 0; runs && (periodic || g != last[s.name]) {
				last[s.name] = g
				g.Sequence = int64(now)
				reports = append(reports, report{due: now + s.delay, g: g})
			}
		}
		slices.SortStableFunc(reports, func(a, b report) int { return cmp.Compare(a.due, b.due) })
		for len(reports) > 0 && reports[0].due <= now {
			reports[0].g.LastSeen = start.Add(now)
			table.Announce(reports[0].g)
			reports = reports[1:]
		}
		if now%(500*time.Millisecond) == 0 {
			table.Expire(start.Add(now))
		}
		if now >= time.Second {
			check(now, append(table.Live(), table.Restarting(start.Add(now))...))
		}
	}
}

// drawSeries draws one to three gateways in each region that stop in series, and the regions whose gateways all leave for good.
func drawSeries(t *rapid.T, regions []string) (all []stoppingGateway, gone map[string]time.Duration) {
	draw := func(name string, from, to time.Duration) time.Duration {
		return 50 * time.Millisecond * time.Duration(rapid.IntRange(int(from/(50*time.Millisecond)), int(to/(50*time.Millisecond))).Draw(t, name))
	}
	gone = map[string]time.Duration{}
	stop, gap := 2*time.Second, draw("gap", 100*time.Millisecond, 3*time.Second)
	for _, region := range regions {
		leaves := rapid.Bool().Draw(t, "leaves")
		for i := range rapid.IntRange(1, 3).Draw(t, "gateways") {
			s := stoppingGateway{name: fmt.Sprint(region, "-", i), region: region, stop: stop, leaves: leaves, delay: draw("delay", 0, 150*time.Millisecond), phase: draw("phase", 0, 450*time.Millisecond)}
			s.end = s.stop + draw("end", 3750*time.Millisecond, seriesGrace)
			s.back = s.end + draw("back", 400*time.Millisecond, 3*time.Second)
			s.ready = s.back + draw("ready", 50*time.Millisecond, 500*time.Millisecond)
			if stop += gap; leaves {
				gone[region] = max(gone[region], s.end)
			}
			all = append(all, s)
		}
	}
	return all, gone
}

// TestStopsInSeriesLeadCallersAway stops gateways of three regions in series, of which those of some regions leave for good:
// callers of a region whose gateways run or start again are named no region that is not a home of every route, and those of
// a region whose gateways are all gone are named others.
func TestStopsInSeriesLeadCallersAway(t *testing.T) {
	regions := []string{"here", "home", "there"}
	hosts := []Homes{
		{Known: true, Restricted: true, Some: []string{"here", "home"}},
		{Known: true, Restricted: true, Shared: []string{"home"}, Some: []string{"here", "home"}},
		{Known: true, Restricted: true, Shared: []string{"here"}, Some: []string{"here"}},
		{Known: true},
	}
	rapid.Check(t, func(t *rapid.T) {
		all, gone := drawSeries(t, regions)
		series(all, 40*time.Second, func(now time.Duration, known []Gateway) {
			for _, region := range regions {
				end, leaves := gone[region]
				lost := leaves && now > end
				for _, homes := range hosts {
					named, choice := Nearest(known, Coverage{}.With(known, true), region, homes, 9)
					for _, g := range named {
						if g.Region != region && !homes.allow(g.Region) && !lost {
							t.Fatalf("after %v %s@%s is named by %v to callers of %s, which has %v", now, g.Name, g.Region, choice, region, States(known, region))
						}
					}
					if len(named) == 0 && lost && now > end+seriesAbsence && slices.ContainsFunc(known, func(g Gateway) bool { return g.Ready }) {
						t.Fatalf("after %v callers of %s, which has had no gateway since %v, are named none", now, region, end)
					}
				}
			}
		})
	})
}

package fleet

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestDepartureLog adds departures, some of them again, and restores the log in between: it holds the last ones in order, and
// Since returns those that an earlier log lacks.
func TestDepartureLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l DepartureLog
		var want []LoggedDeparture
		logs := []DepartureLog{l}
		for range rapid.IntRange(0, 3*maxLoggedDepartures/2).Draw(t, "departures") {
			id := strconv.Itoa(rapid.IntRange(1, 2*maxLoggedDepartures).Draw(t, "id"))
			d := LoggedDeparture{Departure: Departure{ID: id, Born: rapid.Int64Range(0, 1).Draw(t, "born")}, At: 1}
			if !slices.Contains(want, d) {
				want = append(want, d)
			}
			want = want[max(len(want)-maxLoggedDepartures, 0):]
			if l = l.With(d); rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				l = RestoreDepartureLog(l.All())
			}
			logs = append(logs, l)
		}
		if !slices.Equal(l.All(), want) {
			t.Fatalf("holds %v, want %v", l.All(), want)
		}
		earlier := rapid.SampledFrom(logs).Draw(t, "earlier")
		since := l.Since(earlier)
		for _, d := range want {
			if slices.Contains(since, d) == earlier.Contains(d) {
				t.Fatalf("%v is missing or not new", d)
			}
		}
	})
}

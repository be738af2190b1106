package fleet

import "slices"

// maxLoggedDepartures bounds the departures that are kept. Older ones are known to the gateways that outlive them.
const maxLoggedDepartures = 256

// DepartureLog holds the endpoints that left last, in the order of the quorum's log. It is immutable.
type DepartureLog struct {
	departures []Departure
}

// RestoreDepartureLog returns a log of departures, of which it keeps the last ones.
func RestoreDepartureLog(departures []Departure) DepartureLog {
	return DepartureLog{departures: slices.Clone(departures[max(len(departures)-maxLoggedDepartures, 0):])}
}

// With returns the log with a departure added, unless it has been added already.
func (l DepartureLog) With(d Departure) DepartureLog {
	if l.Contains(d) {
		return l
	}
	return RestoreDepartureLog(append(slices.Clone(l.departures), d))
}

// Contains reports whether the log holds a departure.
func (l DepartureLog) Contains(d Departure) bool { return slices.Contains(l.departures, d) }

// All returns the departures, the oldest first.
func (l DepartureLog) All() []Departure { return slices.Clone(l.departures) }

// Since returns the departures that an earlier log does not hold.
func (l DepartureLog) Since(earlier DepartureLog) []Departure {
	if len(l.departures) == 0 || len(earlier.departures) > 0 && &l.departures[0] == &earlier.departures[0] {
		return nil
	}
	known := make(map[Departure]bool, len(earlier.departures))
	for _, d := range earlier.departures {
		known[d] = true
	}
	return slices.DeleteFunc(l.All(), func(d Departure) bool { return known[d] })
}

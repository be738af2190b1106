package fleet

import "slices"

// maxLoggedDepartures bounds the departures that are kept. Older ones are known to the gateways that outlive them.
const maxLoggedDepartures = 256

// LoggedDeparture is a departure that a control daemon acknowledged.
type LoggedDeparture struct {
	Departure
	// At is when it was acknowledged, in Unix milliseconds. If Born is zero, the incarnation is meant whose last heartbeat came
	// before.
	At int64
}

// DepartureLog holds the endpoints that left last, in the order of the quorum's log. It is immutable.
type DepartureLog struct {
	departures []LoggedDeparture
}

// RestoreDepartureLog returns a log of departures, of which it keeps the last ones.
func RestoreDepartureLog(departures []LoggedDeparture) DepartureLog {
	return DepartureLog{departures: slices.Clone(departures[max(len(departures)-maxLoggedDepartures, 0):])}
}

// With returns the log with a departure added, unless it has been added already.
func (l DepartureLog) With(d LoggedDeparture) DepartureLog {
	if l.Contains(d) {
		return l
	}
	return RestoreDepartureLog(append(slices.Clone(l.departures), d))
}

// Contains reports whether the log holds a departure of the same incarnation, or if that is unknown, of the same time.
func (l DepartureLog) Contains(d LoggedDeparture) bool {
	return slices.ContainsFunc(l.departures, func(known LoggedDeparture) bool {
		return known.Departure == d.Departure && (d.Born != 0 || known.At == d.At)
	})
}

// All returns the departures, the oldest first.
func (l DepartureLog) All() []LoggedDeparture { return slices.Clone(l.departures) }

// Since returns the departures that an earlier log does not hold.
func (l DepartureLog) Since(earlier DepartureLog) []LoggedDeparture {
	if len(l.departures) == 0 || len(earlier.departures) > 0 && &l.departures[0] == &earlier.departures[0] {
		return nil
	}
	known := make(map[LoggedDeparture]bool, len(earlier.departures))
	for _, d := range earlier.departures {
		known[d] = true
	}
	return slices.DeleteFunc(l.All(), func(d LoggedDeparture) bool { return known[d] })
}

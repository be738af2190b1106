package fleet

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the names in the record of an endpoint.
	maxNameBytes = 255
	// maxSlots bounds the slots of an endpoint, so that sums over all endpoints do not overflow.
	maxSlots = 1 << 20
	// maxSequence is the largest integer that every JSON writer encodes exactly (RFC 7493, section 2.2).
	maxSequence = 1<<53 - 1
	// maxClockDifference is how far the clock of an endpoint may be ahead. A later start would make all heartbeats of the true
	// incarnation outdated.
	maxClockDifference = 24 * time.Hour
	// maxRemaining bounds the warm-up and the time until termination.
	maxRemaining = 24 * time.Hour
)

// Check returns *EndpointError for a record that names no usable endpoint. Records from outside must be checked before they
// enter a table: all records that changed are encoded in one message, which one invalid name would make impossible.
func (e Endpoint) Check() error {
	if !validID(e.ID) {
		return &EndpointError{Field: "id", Value: e.ID}
	}
	for _, name := range []struct {
		field, value string
		optional     bool
	}{{"service", e.Service, false}, {"failureDomain", e.FailureDomain, false}, {"software", e.Software, true}} {
		if len(name.value) > maxNameBytes || !utf8.ValidString(name.value) || name.value == "" && !name.optional {
			return &EndpointError{Field: name.field, Value: name.value}
		}
	}
	if !ValidAddress(e.Address) {
		return &EndpointError{Field: "address", Value: e.Address}
	}
	return e.checkNumbers()
}

func (e Endpoint) checkNumbers() error {
	for _, n := range []struct {
		field              string
		value, least, most int64
	}{
		{"slots", int64(e.Slots), 1, maxSlots},
		{"sequence", e.Sequence, 0, maxSequence},
	} {
		if n.value < n.least || n.value > n.most {
			return &EndpointError{Field: n.field, Value: strconv.FormatInt(n.value, 10)}
		}
	}
	if !ValidBorn(e.LastSeen, e.Born) {
		return &EndpointError{Field: "born", Value: strconv.FormatInt(e.Born, 10)}
	}
	if e.ColdUntil.Sub(e.LastSeen) > maxRemaining {
		return &EndpointError{Field: "coldUntil", Value: e.ColdUntil.Sub(e.LastSeen).String()}
	}
	if !e.TerminatesAt.IsZero() && e.TerminatesAt.Sub(e.LastSeen).Abs() > maxRemaining {
		return &EndpointError{Field: "terminatesAt", Value: e.TerminatesAt.Sub(e.LastSeen).String()}
	}
	return nil
}

// ValidAddress reports whether an address is the IP address of one host and a port other than 0, in canonical form, so that
// equal addresses have equal texts.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.String() != address {
		return false
	}
	ip := a.Addr()
	return ip.Zone() == "" && !ip.Is4In6() && !ip.IsUnspecified() && !ip.IsMulticast()
}

// ValidBorn reports whether a start in Unix milliseconds is possible for an incarnation that reports at now. Zero is an unknown
// start.
func ValidBorn(now time.Time, born int64) bool {
	return born >= 0 && born <= now.Add(maxClockDifference).UnixMilli()
}

// validID reports whether an id is not empty and consists of visible ASCII characters, as it is sent in a header field.
func validID(id string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return id != "" && len(id) <= maxNameBytes && !strings.ContainsFunc(id, invalid)
}

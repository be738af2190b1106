package fleet

import (
	"net/netip"
	"strings"
	"unicode/utf8"
)

// maxNameBytes bounds the names in the record of an endpoint.
const maxNameBytes = 255

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

// validID reports whether an id is not empty and consists of visible ASCII characters, as it is sent in a header field.
func validID(id string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return id != "" && len(id) <= maxNameBytes && !strings.ContainsFunc(id, invalid)
}

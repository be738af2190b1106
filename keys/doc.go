// Package keys loads the certificates of an instance and verifies those of its peers.
//
// Certificates, keys and authorities are PEM files that are reloaded when
// they change. The system's own processes use mutual TLS: each side
// identifies itself by a URI in its certificate, as in spiffe://arbutusreel/REGION/NAME.
// Without files no connection uses TLS.
package keys

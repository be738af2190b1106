// Package keys holds the certificates of an instance and checks those of its peers.
//
// Certificates, keys and authorities are PEM files that are read again when
// they change. Between the system's own processes TLS is mutual: each side
// names itself by a URI in its certificate, as in spiffe://arbutusreel/REGION/NAME.
// Without files everything is plain.
package keys

package keys

import (
	"context"
	"crypto/x509"
	"net/url"
	"strings"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// Fixed parts of the URI that identifies an instance.
const (
	uriScheme = "spiffe"
	uriHost   = "arbutusreel"
)

// Identity is an instance as named by its certificate.
type Identity struct {
	Name   string
	Region string
}

// URI returns the URI that identifies the instance in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: uriHost, Path: "/" + i.Region + "/" + i.Name}
}

// IdentityOf returns the instance that a certificate names; a certificate that names none or several returns
// *IdentityError.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	var found []Identity
	var uris []string
	for _, u := range c.URIs {
		uris = append(uris, u.String())
		region, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if ok && u.Scheme == uriScheme && u.Host == uriHost && region != "" && name != "" && !strings.Contains(name, "/") {
			found = append(found, Identity{Name: name, Region: region})
		}
	}
	if len(found) != 1 {
		return Identity{}, &IdentityError{URIs: uris}
	}
	return found[0], nil
}

// Peer returns the instance at the other end of a gRPC call, as named by its verified certificate; ok is false
// without TLS.
func Peer(ctx context.Context) (identity Identity, ok bool) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return Identity{}, false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Identity{}, false
	}
	identity, err := IdentityOf(info.State.PeerCertificates[0])
	return identity, err == nil
}

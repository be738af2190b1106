package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"time"
)

// Authority is a certificate authority for instances on loopback addresses.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
	validFrom   time.Time
}

// NewAuthority returns an authority whose certificates are valid from one hour before the given time until 24 hours
// after it.
func NewAuthority(from time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key, validFrom: from}
	template := a.template()
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	a.certificate, err = x509.ParseCertificate(der)
	return a, err
}

func (a *Authority) template() *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: "emulated"},
		NotBefore:    a.validFrom.Add(-time.Hour),
		NotAfter:     a.validFrom.Add(24 * time.Hour),
	}
}

// PEM returns the authority's own certificate in PEM form.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Sign returns a certificate for the URI and the IP addresses, and its private key, both in PEM form.
func (a *Authority) Sign(uri *url.URL, ips ...net.IP) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := a.template()
	template.URIs = []*url.URL{uri}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, privateKey.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), nil
}

package systemtest

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/keys"
	"arbutusreel/standin"
	"arbutusreel/wiregen"
)

// certificates are the certificate files of a system that uses TLS. A nil value means plaintext.
type certificates struct {
	t             *testing.T
	dir           string
	authority     *standin.Authority
	authorityFile string
}

func newCertificates(t *testing.T) *certificates {
	t.Helper()
	authority, err := standin.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	c := &certificates{t: t, dir: t.TempDir(), authority: authority}
	c.authorityFile = c.write("authority.pem", authority.PEM())
	return c
}

func (c *certificates) write(name string, b []byte) string {
	c.t.Helper()
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// sign writes a new certificate and key of an instance to files whose names start with the prefix.
func (c *certificates) sign(prefix, name, region string) keys.Files {
	c.t.Helper()
	certificate, key, err := c.authority.Sign(keys.Identity{Name: name, Region: region}.URI(), net.ParseIP(loopbackIP()))
	if err != nil {
		c.t.Fatal(err)
	}
	return keys.Files{
		Certificate: c.write(prefix+"-certificate.pem", certificate),
		Key:         c.write(prefix+"-key.pem", key),
		Authority:   c.authorityFile,
	}
}

// args returns the TLS flags of an instance with its own certificate.
func (c *certificates) args(name, region string) []string {
	if c == nil {
		return nil
	}
	files := c.sign(name, name, region)
	return []string{"--tlsCertificateFile", files.Certificate, "--tlsKeyFile", files.Key, "--tlsAuthorityFile", files.Authority}
}

func (c *certificates) client() *tls.Config {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(c.authority.PEM())
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// newSource returns the credentials of an instance with its own certificate.
func (c *certificates) newSource(name, region string) *keys.Source {
	c.t.Helper()
	source, err := keys.New(c.sign("test-"+name, name, region), time.Now, func(error) {})
	if err != nil {
		c.t.Fatal(err)
	}
	return source
}

func (s *system) scheme() string {
	if s.tls != nil {
		return "https://"
	}
	return "http://"
}

// exchange calls Exchange once on a new connection with claim as the name of the sender. It expects the receiver to be
// named expect.
func exchange(t *testing.T, source *keys.Source, to *instance, expect, claim string) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+to.peer, grpc.WithTransportCredentials(source.Client(expect)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	_, err = wiregen.NewPeerClient(conn).Exchange(ctx, &wiregen.ExchangeRequest{Sender: claim, Region: "karachi"})
	return err
}

// queryLedger sends a ledger request to an entry with the credentials of source.
func queryLedger(t *testing.T, source *keys.Source, to *instance) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+to.peer, grpc.WithTransportCredentials(source.Client(to.name)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	_, err = wiregen.NewLedgerClient(conn).Handle(ctx, &wiregen.LedgerRequest{})
	return err
}

func TestMutualTLS(t *testing.T) {
	c := newCertificates(t)
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClubInventory, certificates: c})
	lahore := s.entries[0]
	s.engine("engine-karachi", "karachi", "menu-model", "dastarkhwan-menu")
	answered := func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, planBody).status == http.StatusOK
	}
	s.until("a plan of lahore is answered in karachi", answered)

	own := c.newSource("entry-test", "karachi")
	check := func(name string, err error, ok bool) {
		t.Helper()
		if (err == nil) != ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	check("own name", exchange(t, own, lahore, lahore.name, "entry-test"), true)
	check("claim of another name", exchange(t, own, lahore, lahore.name, "entry-karachi-0"), false)
	check("ledger of another region", queryLedger(t, own, lahore), false)
	check("ledger of the own region", queryLedger(t, c.newSource("entry-near", "lahore"), lahore), true)
	check("the receiver has another name", exchange(t, own, lahore, "entry-karachi-0", "entry-test"), false)
	check("plain", exchange(t, keys.Plain(), lahore, "", "entry-test"), false)
	foreign := newCertificates(t).newSource("entry-test", "karachi")
	check("foreign authority", exchange(t, foreign, lahore, "", "entry-test"), false)

	before := s.serial(lahore.caller)
	c.sign(lahore.name, lahore.name, lahore.region)
	s.until("the rotated certificate is served without a restart", func() bool { return s.serial(lahore.caller) != before })
	s.until("a plan is answered after the rotation", answered)
	c.sign(lahore.name, "entry-other", lahore.region)
	check("a certificate of another name", exchange(t, own, lahore, lahore.name, "entry-test"), false)
	if out, err := s.command("status"); err != nil || !strings.Contains(out, lahore.name) {
		t.Errorf("status over TLS: %v\n%s", err, out)
	}
}

// serial returns the serial number of the certificate that is served at an address.
func (s *system) serial(address string) string {
	s.t.Helper()
	conn, err := tls.Dial("tcp", address, s.tls)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

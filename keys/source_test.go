package keys_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"arbutusreel/keys"
	"arbutusreel/standin"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testInstance is an instance with its TLS files.
type testInstance struct {
	files  keys.Files
	source *keys.Source
	now    time.Time
	faults []error
}

func newAuthority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority(start)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newTestInstance(t *testing.T, a *standin.Authority, name string) *testInstance {
	t.Helper()
	dir := t.TempDir()
	h := &testInstance{now: start, files: keys.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}}
	h.install(t, a, name)
	var err error
	h.source, err = keys.New(h.files, func() time.Time { return h.now }, func(err error) { h.faults = append(h.faults, err) })
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func write(t *testing.T, file string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// install writes a new certificate for the name, its key and the authority.
func (h *testInstance) install(t *testing.T, a *standin.Authority, name string) {
	t.Helper()
	certificate, key, err := a.Sign(keys.Identity{Name: name, Region: "lahore"}.URI(), net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	write(t, h.files.Certificate, certificate)
	write(t, h.files.Key, key)
	write(t, h.files.Authority, a.PEM())
}

// claimServer answers health checks only if the client is the instance of region lahore that it claims to be.
type claimServer struct {
	*health.Server
	source *keys.Source
}

func (c claimServer) Check(ctx context.Context, m *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	if err := c.source.CheckClaim(ctx, m.GetService(), "lahore"); err != nil {
		return nil, err
	}
	return &grpc_health_v1.HealthCheckResponse{}, nil
}

func (h *testInstance) serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(h.source.Server()))
	grpc_health_v1.RegisterHealthServer(s, claimServer{Server: health.NewServer(), source: h.source})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// call makes one call on a new connection, in which the client claims a name.
func call(t *testing.T, client *keys.Source, address, expect, claim string) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(client.Client(expect)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{Service: claim})
	return err
}

func TestMutual(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	server := newTestInstance(t, own, "b")
	address := server.serve(t)
	a := newTestInstance(t, own, "a")
	foreignClient := newTestInstance(t, foreign, "a")
	trusting := newTestInstance(t, foreign, "a")
	write(t, trusting.files.Authority, own.PEM())
	expiredClient := newTestInstance(t, own, "a")
	expiredClient.now = start.Add(48 * time.Hour)
	tests := []struct {
		name          string
		client        *keys.Source
		expect, claim string
		ok            bool
	}{
		{"own authority and name", a.source, "b", "a", true},
		{"any name", a.source, "", "a", true},
		{"wrong name of the server", a.source, "c", "a", false},
		{"claim of another name", a.source, "b", "c", false},
		{"foreign authority on both sides", foreignClient.source, "b", "a", false},
		{"foreign certificate of a client that trusts the server", trusting.source, "b", "a", false},
		{"client without TLS", keys.Plain(), "b", "a", false},
		{"expired certificate of the server", expiredClient.source, "b", "a", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := call(t, test.client, address, test.expect, test.claim); (err == nil) != test.ok {
				t.Errorf("call returned %v", err)
			}
		})
	}
}

func TestRotation(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	server, client := newTestInstance(t, before, "b"), newTestInstance(t, before, "a")
	address := server.serve(t)
	check := func(step string, ok bool) {
		t.Helper()
		if err := call(t, client.source, address, "b", "a"); (err == nil) != ok {
			t.Errorf("%s: call returned %v", step, err)
		}
	}
	check("before", true)
	server.install(t, after, "b")
	check("the server has changed to an authority that the client lacks", false)
	client.install(t, after, "a")
	check("both have changed", true)
	write(t, server.files.Certificate, []byte("no certificate"))
	check("a broken file leaves the last good one in force", true)
	var fault *keys.FileError
	if len(server.faults) == 0 || !errors.As(server.faults[0], &fault) {
		t.Errorf("faults reported: %v", server.faults)
	}
	server.install(t, after, "c")
	check("the server has another name", false)
}

func TestPlain(t *testing.T) {
	server := &testInstance{source: keys.Plain()}
	if err := call(t, keys.Plain(), server.serve(t), "b", "a"); err != nil {
		t.Error(err)
	}
}

func TestIncompleteFiles(t *testing.T) {
	h := newTestInstance(t, newAuthority(t), "a")
	tests := []struct {
		name string
		edit func(*keys.Files)
		want any
	}{
		{"no key", func(f *keys.Files) { f.Key = "" }, new(*keys.IncompleteError)},
		{"no certificate", func(f *keys.Files) { f.Certificate = "" }, new(*keys.IncompleteError)},
		{"no authority", func(f *keys.Files) { f.Authority = "" }, new(*keys.IncompleteError)},
		{"authority is a key", func(f *keys.Files) { f.Authority = f.Key }, new(*keys.FileError)},
		{"absent file", func(f *keys.Files) { f.Certificate += "x" }, new(*keys.FileError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			files := h.files
			test.edit(&files)
			if _, err := keys.New(files, time.Now, nil); !errors.As(err, test.want) {
				t.Errorf("New returned %v", err)
			}
		})
	}
}

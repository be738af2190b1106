package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/exchange"
	"arbutusreel/keys"
	"arbutusreel/operator"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// withClient calls f with a client of the configured servers and a context that ends after the configured timeout.
func withClient(ctx context.Context, m *wiregen.OperatorSettings, f func(context.Context, *operator.Client) error) error {
	token, err := readToken(m.GetTokenFile())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.GetTimeout().AsDuration())
	defer cancel()
	c := operator.New(m.GetControls(), token, newHTTPClient())
	source, err := keys.New(keys.Files{Authority: m.GetTlsAuthorityFile()}, time.Now, func(error) {})
	if err != nil {
		return err
	}
	if cfg := source.HTTPClient(); cfg != nil {
		c = c.WithTLS(cfg)
	}
	return f(ctx, c)
}

// newHTTPClient returns a client that opens a connection for each request.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: exchange.NewTransport(exchange.TransportConfig{})}
}

func readToken(file string) (string, error) {
	if file == "" {
		return os.Getenv("ARBUTUSREEL_TOKEN"), nil
	}
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), err
}

// printReply writes a reply as JSON.
func printReply(stdout io.Writer, reply proto.Message) error {
	b, err := wire.EncodeJSON(reply)
	if err != nil {
		return err
	}
	_, err = stdout.Write(b)
	return err
}

package operator

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
)

// indexParameter is the name of the query parameter with the index of a confirmed order.
const indexParameter = "after"

type connKey struct{}

// connIndex is the index of the log when the last response on a connection began; its requests come one after the other.
type connIndex struct {
	index int64
}

// Causality determines which entries of the log were decided before the sender of an order sent it. A copy of an order
// may be delivered long after its sender has given it up and has had later orders decided, so that the time of its
// arrival shows nothing. What a sender has read before does: the last response on the same connection, or the address
// to which a response redirected it.
type Causality struct {
	known func() int64
	next  http.Handler
}

// NewCausality returns a handler that passes requests on to next; known returns the index of the last known log entry.
// The server's ConnContext must be set to that of the handler, which otherwise sees no earlier responses.
func NewCausality(known func() int64, next http.Handler) *Causality {
	return &Causality{known: known, next: next}
}

// ConnContext returns the context of a new connection.
func (c *Causality) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connIndex{})
}

// ServeHTTP passes a request on and records the index at its response.
func (c *Causality) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*connIndex)
	if !ok {
		c.next.ServeHTTP(w, r)
		return
	}
	indexed := &indexedWriter{ResponseWriter: w, known: c.known}
	c.next.ServeHTTP(indexed, r)
	indexed.begin()
	conn.index = indexed.index
}

// indexedWriter takes the index before the response begins.
type indexedWriter struct {
	http.ResponseWriter

	known func() int64
	begun bool
	index int64
}

func (w *indexedWriter) begin() {
	if !w.begun {
		w.begun, w.index = true, w.known()
	}
}

func (w *indexedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *indexedWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w *indexedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// KnownIndex returns an index of the log whose entries were all decided before the request was sent, or zero if its
// sender has not shown that it read any response.
func KnownIndex(r *http.Request) int64 {
	var index int64
	if conn, ok := r.Context().Value(connKey{}).(*connIndex); ok {
		index = conn.index
	}
	if confirmed, err := strconv.ParseInt(r.URL.Query().Get(indexParameter), 10, 64); err == nil {
		index = max(index, confirmed)
	}
	return index
}

// Confirm redirects the sender of an order to the same address with an index of the log. Only a sender that still waits
// for the response sends the order again.
func Confirm(w http.ResponseWriter, r *http.Request, index int64) {
	location := url.URL{
		Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: url.Values{indexParameter: {strconv.FormatInt(index, 10)}}.Encode(),
	}
	w.Header().Set("Location", location.String())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

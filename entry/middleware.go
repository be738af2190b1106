package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"arbutusreel/problem"
)

// correlationBytes is the length of a correlation ID in characters.
const correlationBytes = 12

// headerSlack is by how many bytes a header may exceed the maximum and still be refused with a problem; net/http
// refuses larger ones by itself.
const headerSlack = 64 << 10

// correlationKey is the context key of the correlation ID.
type correlationKey struct{}

// correlationID returns the correlation ID in a request's context.
func correlationID(ctx context.Context) string {
	id, _ := ctx.Value(correlationKey{}).(string)
	return id
}

// middleware assigns a correlation ID to each request and refuses requests whose header is too large. It resets the
// deadlines that an earlier request left on the connection, and limits the time for reading the body, which net/http
// reads to its end even after a refusal. Answers of a leaving entry close the connection.
func (n *Entry) middleware(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := rand.Text()[:correlationBytes]
		w.Header().Set(correlationHeader, id)
		r = r.WithContext(context.WithValue(r.Context(), correlationKey{}, id))
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		_ = control.SetReadDeadline(time.Now().Add(n.cfg.BodyTimeout))
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if headerBytes(r) > n.cfg.MaxHeaderBytes {
			n.fail(w, caller{correlationID: id}, problem.New(problem.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "a header must have at most %d bytes", n.cfg.MaxHeaderBytes))
			return
		}
		defer n.abortOnPanic(id)
		handler.ServeHTTP(w, r)
	})
}

// setWriteTimeout limits the time for writing an answer that is not streamed.
func (n *Entry) setWriteTimeout(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.cfg.ReaderTimeout))
}

// headerBytes returns the size of a request line and its header fields, in bytes.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// abortOnPanic recovers from a panic of a handler and closes the connection, so that the caller doesn't mistake a
// truncated answer for a complete one.
func (n *Entry) abortOnPanic(id string) {
	cause := recover()
	if cause == nil {
		return
	}
	n.log.Error().Str("correlationId", id).Str("code", string(problem.Internal)).Msg("request handler panicked")
	panic(http.ErrAbortHandler)
}

// unknownRoute refuses requests for unknown paths, and requests with a method that the path doesn't support.
func (n *Entry) unknownRoute(mux *http.ServeMux) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := caller{correlationID: correlationID(r.Context())}
		allowed := allowedMethods(mux, r)
		if len(allowed) == 0 {
			n.fail(w, c, problem.New(problem.UnknownRoute, http.StatusNotFound, "no route matches the path %q", r.URL.Path))
			return
		}
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		n.fail(w, c, problem.New(problem.MethodNotAllowed, http.StatusMethodNotAllowed, "the route %q supports only the methods %s", r.URL.Path, strings.Join(allowed, ", ")))
	}
}

// allowedMethods returns the methods for which the path has a route.
func allowedMethods(mux *http.ServeMux, r *http.Request) []string {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := mux.Handler(probe); pattern != "/" && pattern != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

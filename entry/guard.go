package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"arbutusreel/problem"
)

// correlationBytes is the length of a correlation id before its encoding.
const correlationBytes = 12

// headerSlack is how far a header may exceed its bound and still be refused with a problem; beyond it net/http refuses.
const headerSlack = 64 << 10

// correlationKey is the key of the correlation id in a request's context.
type correlationKey struct{}

// correlationOf returns the correlation id of a request.
func correlationOf(ctx context.Context) string {
	id, _ := ctx.Value(correlationKey{}).(string)
	return id
}

// guard gives each request a correlation id and refuses one whose header is too large. It clears what an earlier request
// left on the connection, limits the time for the body, which net/http reads to its end also after a refusal, and closes
// the connection after a leaving entry's answer.
func (n *Entry) guard(handler http.Handler) http.Handler {
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
			n.fail(w, caller{correlationID: id}, problem.New(problem.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "a header has at most %d bytes", n.cfg.MaxHeaderBytes))
			return
		}
		defer n.abort(id)
		handler.ServeHTTP(w, r)
	})
}

// limitWrite bounds the time in which the caller takes an answer that is written at once.
func (n *Entry) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.cfg.ReaderTimeout))
}

// headerBytes returns the size of a request's first line and header fields.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// abort ends a request whose handler panicked: its connection is closed, so that the caller does not take what was
// sent for the whole answer.
func (n *Entry) abort(id string) {
	cause := recover()
	if cause == nil {
		return
	}
	n.log.Error().Str("correlationId", id).Str("code", string(problem.Internal)).Msg("panicked")
	panic(http.ErrAbortHandler)
}

// unknownRoute refuses a path that no route has, or a method that its route lacks.
func (n *Entry) unknownRoute(mux *http.ServeMux) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := caller{correlationID: correlationOf(r.Context())}
		allowed := allowedMethods(mux, r)
		if len(allowed) == 0 {
			n.fail(w, c, problem.New(problem.UnknownRoute, http.StatusNotFound, "no route has the path %q", r.URL.Path))
			return
		}
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		n.fail(w, c, problem.New(problem.MethodNotAllowed, http.StatusMethodNotAllowed, "the route %q has the methods %s", r.URL.Path, strings.Join(allowed, ", ")))
	}
}

// allowedMethods returns the methods with which the path has a route.
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

package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"arbutusreel/problem"
)

// keptEndpoint answers the n-th request on each connection with what the answer function returns, and closes the connection
// if that is empty.
func keptEndpoint(t *testing.T, answer func(n int) string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text := answer(n)
					if _, err := io.WriteString(c, text); err != nil || text == "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// response returns an answer that echoes the ID unless it is empty.
func response(status int, id, body string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// exchangeOnce sends the request and reads the whole answer.
func exchangeOnce(t *testing.T, p *Pool, address string, r *Request) (status int, body string, fresh bool, err error) {
	t.Helper()
	answer, err := p.Send(t.Context(), address, r)
	if err != nil {
		return 0, "", false, err
	}
	defer answer.Close()
	b, err := io.ReadAll(answer)
	return answer.Status, string(b), answer.Fresh, err
}

func newKeptPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(IdleLimits{Repeatable: time.Minute, NonRepeatable: time.Minute}, time.Second, time.Now)
	t.Cleanup(p.Close)
	return p
}

// TestEarlierResponseTaken guards against an answer to an earlier request that is taken for that to the present one, on a kept
// connection or after another answer on a new one.
func TestEarlierResponseTaken(t *testing.T) {
	own := response(200, "own", "own")
	for _, status := range []int{200, 400, 408, 421, 429, 503} {
		for _, id := range []string{"", "other"} {
			for name, c := range map[string]struct {
				answer func(n int) string
				sent   int
			}{
				"kept": {func(n int) string {
					if n == 0 {
						return own
					}
					return response(status, id, "no") + own
				}, 2},
				"new, after another": {func(int) string { return response(503, "other", "") + response(status, id, "no") + own }, 1},
			} {
				t.Run(fmt.Sprintf("%s/%d/%q", name, status, id), func(t *testing.T) {
					p, address := newKeptPool(t), keptEndpoint(t, c.answer)
					for i := range c.sent {
						got, body, fresh, err := exchangeOnce(t, p, address, testRequest())
						if got != 200 || body != "own" || fresh != (i == 0) || err != nil {
							t.Errorf("request %d: status %d, body %q, new connection: %v, error %v", i, got, body, fresh, err)
						}
					}
				})
			}
		}
	}
}

// TestEarlierRefusalAlone guards against an outcome of not run for a request that was sent, if only the refusal of an earlier
// one came before the connection ended.
func TestEarlierRefusalAlone(t *testing.T) {
	address := keptEndpoint(t, func(n int) string {
		if n == 0 {
			return response(200, "own", "own")
		}
		return "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	})
	p := newKeptPool(t)
	if _, _, _, err := exchangeOnce(t, p, address, testRequest()); err != nil {
		t.Fatal(err)
	}
	_, _, _, err := exchangeOnce(t, p, address, testRequest())
	var failure *Error
	if !errors.As(err, &failure) || !failure.Reused || failure.Outcome != problem.Unknown {
		t.Errorf("error %v", err)
	}
}

// TestRequestWithoutID guards against a request without an ID on a kept connection, where no answer could be matched to it.
func TestRequestWithoutID(t *testing.T) {
	p, address := newKeptPool(t), keptEndpoint(t, func(int) string { return response(400, "", "no") })
	for range 2 {
		r := testRequest()
		r.ID = ""
		status, body, fresh, err := exchangeOnce(t, p, address, r)
		if status != 400 || body != "no" || !fresh || err != nil {
			t.Errorf("status %d, body %q, new connection: %v, error %v", status, body, fresh, err)
		}
	}
}

// TestConnectionKeptAfterOtherResponse guards against the reuse of a connection on which an answer to another request came: more
// may follow.
func TestConnectionKeptAfterOtherResponse(t *testing.T) {
	for _, id := range []string{"", "other"} {
		t.Run(fmt.Sprintf("%q", id), func(t *testing.T) {
			p := newKeptPool(t)
			address := keptEndpoint(t, func(n int) string {
				if n == 0 {
					return response(200, "own", "own")
				}
				return response(503, id, "") + response(200, "own", "own")
			})
			for i, want := range []bool{true, false, true, false} {
				status, _, fresh, err := exchangeOnce(t, p, address, testRequest())
				if status != 200 || fresh != want || err != nil {
					t.Errorf("request %d: status %d, new connection: %v, error %v", i, status, fresh, err)
				}
			}
		})
	}
}

package exchange

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"arbutusreel/rawresponse"
)

// uploadBytes is more than the socket buffers take, so that the request is still being written when its answer arrives.
const uploadBytes = 4 << 20

// TestEarlyAnswer has endpoints answer while a long request is still being written, and end the connection: an answer counts as
// complete only if its length or its chunks say so, or if its connection ended in order.
func TestEarlyAnswer(t *testing.T) {
	const id = "Id: own\r\n"
	framings := map[string]struct {
		whole, part    string
		delimitsItself bool
	}{
		"no length":         {"HTTP/1.1 200 OK\r\n" + id + "\r\nbody", "", false},
		"HTTP/1.0":          {"HTTP/1.0 200 OK\r\n" + id + "\r\nbody", "", false},
		"connection: close": {"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\nbody", "", false},
		"length":            {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nbody", true},
		"chunks":            {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true},
	}
	for name, f := range framings {
		for _, end := range rawresponse.Ends() {
			for _, size := range []int{uploadBytes, 300 << 10} {
				t.Run(fmt.Sprintf("%s/%s/%d", name, end, size), func(t *testing.T) {
					t.Parallel()
					for range 8 {
						checkEarlyAnswer(t, f.whole, end, size, f.delimitsItself || end.Orderly())
						if f.part != "" {
							checkEarlyAnswer(t, f.part, end, size, false)
						}
					}
				})
			}
		}
	}
}

func checkEarlyAnswer(t *testing.T, text string, end rawresponse.End, size int, whole bool) {
	t.Helper()
	p := newKeptPool(t)
	r := testRequest()
	r.Body = []byte(strings.Repeat("x", size))
	status, body, _, err := exchangeOnce(t, p, rawresponse.Serve(t, text, end), r)
	if whole && (err != nil || status != http.StatusOK || body != "body") {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
	if !whole && err == nil {
		t.Errorf("%q passed as a whole answer", body)
	}
}

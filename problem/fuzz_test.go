package problem_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"arbutusreel/problem"
)

// FuzzDecode checks that an accepted problem can be written and survives its encoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"type":"about:blank","status":503,"code":"noCapacity","outcome":"notRun","retryAfterMillis":1000}`))
	f.Add([]byte(`{"status":0,"code":"x"}`))
	f.Add([]byte(`{"status":200,"code":"x"}`))
	f.Add([]byte(`{"status":503,"code":"x","retryAfterMillis":9223372036854775807}`))
	f.Add([]byte(`{"status":503,"code":"x","retryAfterMillis":-5}`))
	f.Add([]byte(`{"status":503,"code":"x","outcome":"perhaps"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, ok := problem.Decode(b)
		if !ok {
			return
		}
		if p.Status < http.StatusBadRequest || p.RetryAfter < 0 {
			t.Fatalf("problem %+v was accepted", p)
		}
		if p.Outcome != problem.NotRun && p.Outcome != problem.Unknown {
			t.Errorf("outcome %q was accepted", p.Outcome)
		}
		problem.Write(httptest.NewRecorder(), p, "c")
		again, ok := problem.Decode(problem.Encode(p, "c"))
		if !ok || *again != *p {
			t.Errorf("%+v became %+v", p, again)
		}
	})
}

package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	cases := []struct {
		name       string
		d, timeout time.Duration
		want       bool
		waited     time.Duration
	}{
		{name: "full duration", d: time.Second, timeout: time.Minute, want: true, waited: time.Second},
		{name: "context ends first", d: time.Minute, timeout: time.Second, waited: time.Second},
		{name: "zero duration", timeout: time.Second, want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				began := time.Now()
				if got := Sleep(ctx, c.d); got != c.want || time.Since(began) != c.waited {
					t.Errorf("Sleep returned %v after %v, want %v after %v", got, time.Since(began), c.want, c.waited)
				}
			})
		})
	}
}

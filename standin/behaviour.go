package standin

import (
	"net/http"
	"os"
	"regexp"
	"time"
)

// behaviour is what a body asks of the emulated service, so that a test can bring about one failure at one step:
//
//	delay=1s       waits before it runs the call
//	late=1s        waits after it ran the call
//	close          runs the call and closes the connection without an answer
//	closeUnrun     closes the connection without running the call
//	exit           runs the call and ends the process
type behaviour struct {
	delay, late             time.Duration
	closes, skipsRun, exits bool
}

// behaviourOf returns what a body asks.
func behaviourOf(body string) behaviour {
	var b behaviour
	for _, word := range regexp.MustCompile(`[a-zA-Z]+(=[0-9a-z]+)?`).FindAllString(body, -1) {
		switch {
		case len(word) > 6 && word[:6] == "delay=":
			b.delay, _ = time.ParseDuration(word[6:])
		case len(word) > 5 && word[:5] == "late=":
			b.late, _ = time.ParseDuration(word[5:])
		case word == "close":
			b.closes = true
		case word == "closeUnrun":
			b.closes, b.skipsRun = true, true
		case word == "exit":
			b.exits = true
		}
	}
	return b
}

// run runs a body as it asks and reports whether it is to be answered.
func (s *Service) run(w http.ResponseWriter, body string) (ran int, answered bool) {
	b := behaviourOf(body)
	time.Sleep(b.delay)
	if !b.skipsRun {
		ran = s.count(body)
	}
	if b.exits {
		os.Exit(1)
	}
	time.Sleep(b.late)
	if !b.closes {
		return ran, true
	}
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
	return ran, false
}

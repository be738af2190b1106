package standin

import (
	"net/http"
	"os"
	"regexp"
	"time"
)

// behaviour is the fault that a request body injects into the emulated service, so that a test can cause one failure at
// one step:
//
//	delay=1s       waits before running the call
//	late=1s        waits after running the call
//	close          runs the call and closes the connection without a response
//	closeUnrun     closes the connection without running the call
//	exit           runs the call and exits the process
type behaviour struct {
	delayBefore, delayAfter time.Duration
	closes, skipsRun, exits bool
}

// parseBehaviour returns the behaviour that a body requests; unknown words are ignored.
func parseBehaviour(body string) behaviour {
	var b behaviour
	for _, word := range regexp.MustCompile(`[a-zA-Z]+(=[0-9a-z]+)?`).FindAllString(body, -1) {
		switch {
		case len(word) > 6 && word[:6] == "delay=":
			b.delayBefore, _ = time.ParseDuration(word[6:])
		case len(word) > 5 && word[:5] == "late=":
			b.delayAfter, _ = time.ParseDuration(word[5:])
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

// run runs a call with the behaviour that its body requests and reports how often the body has run and whether the
// caller gets a response.
func (s *Service) run(w http.ResponseWriter, body string) (ran int, answered bool) {
	b := parseBehaviour(body)
	time.Sleep(b.delayBefore)
	if !b.skipsRun {
		ran = s.recordRun(body)
	}
	if b.exits {
		os.Exit(1)
	}
	time.Sleep(b.delayAfter)
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

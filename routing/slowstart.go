package routing

// SlowStart limits the prompt tokens in flight to an endpoint or region with a cold cache. The window doubles each time
// a whole window of tokens has completed.
type SlowStart struct {
	active bool
	// window, inFlight and completed are in prompt tokens; completed counts towards the next doubling.
	window    int
	inFlight  int
	completed int
}

// NewSlowStart returns a slow start with the initial window.
func NewSlowStart() SlowStart {
	return SlowStart{active: true, window: coldPrefillTokens}
}

// newProbe returns a slow start that admits one request at a time until one has completed.
func newProbe() SlowStart {
	return SlowStart{active: true, window: 1}
}

// Active reports whether slow start is in progress.
func (s *SlowStart) Active() bool { return s.active }

// Allows reports whether a prompt of the given number of tokens may be sent in addition to those in flight; with none in
// flight, a prompt of any size may.
func (s *SlowStart) Allows(tokens int) bool {
	return !s.active || s.inFlight == 0 || s.inFlight+tokens <= s.window
}

// Begin adds the tokens of a sent prompt to those in flight.
func (s *SlowStart) Begin(tokens int) { s.inFlight += max(tokens, 1) }

// End removes the tokens of a prompt from those in flight; done is true if its prefill completed.
func (s *SlowStart) End(tokens int, done bool) {
	tokens = max(tokens, 1)
	s.inFlight = max(s.inFlight-tokens, 0)
	if !s.active || !done {
		return
	}
	if s.window < coldPrefillTokens {
		s.window = coldPrefillTokens
		return
	}
	s.completed += tokens
	for s.completed >= s.window {
		s.completed -= s.window
		s.window *= 2
	}
	s.active = s.window < warmPrefillTokens
}

package routing

// SlowStart bounds the prompt tokens in flight to what has a cold cache; the bound doubles as they complete.
type SlowStart struct {
	active  bool
	window  int
	pending int
	done    int
}

// NewSlowStart returns a slow start at its lowest bound.
func NewSlowStart() SlowStart {
	return SlowStart{active: true, window: coldPrefillTokens}
}

// newProbe returns a bound that lets one request through at a time until one is done.
func newProbe() SlowStart {
	return SlowStart{active: true, window: 1}
}

// Active reports whether the bound still holds.
func (s *SlowStart) Active() bool { return s.active }

// Room reports whether tokens more may be sent; one request is always let through.
func (s *SlowStart) Room(tokens int) bool {
	return !s.active || s.pending == 0 || s.pending+tokens <= s.window
}

// Begin counts the tokens of a prompt that is sent.
func (s *SlowStart) Begin(tokens int) { s.pending += max(tokens, 1) }

// End counts the tokens of a prompt as read if done, or as given up.
func (s *SlowStart) End(tokens int, done bool) {
	tokens = max(tokens, 1)
	s.pending = max(s.pending-tokens, 0)
	if !s.active || !done {
		return
	}
	if s.window < coldPrefillTokens {
		s.window = coldPrefillTokens
		return
	}
	s.done += tokens
	for s.done >= s.window {
		s.done -= s.window
		s.window *= 2
	}
	s.active = s.window < warmPrefillTokens
}

package relay

import (
	"fmt"
	"time"
)

// StaleSourceError is returned for a source whose last contact with the quorum's leader is too old.
type StaleSourceError struct {
	Address string
	Age     time.Duration
}

// Error returns a message with the source and the time.
func (e *StaleSourceError) Error() string {
	return fmt.Sprintf("source %q has had no contact with a leader for %v", e.Address, e.Age)
}

// IdleSourceError is returned for a source that sent neither updates nor heartbeats within the limit.
type IdleSourceError struct {
	Address string
	Limit   time.Duration
}

// Error returns a message with the source and the time.
func (e *IdleSourceError) Error() string {
	return fmt.Sprintf("source %q has sent nothing for %v", e.Address, e.Limit)
}

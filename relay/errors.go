package relay

import (
	"fmt"
	"time"
)

// StaleSourceError says that a source has not heard of the quorum's leader for long.
type StaleSourceError struct {
	Address string
	Age     time.Duration
}

// Error names the source and the time.
func (e *StaleSourceError) Error() string {
	return fmt.Sprintf("source %q has not heard of a leader for %v", e.Address, e.Age)
}

// SilentSourceError says that a source sends nothing, not even signs of life.
type SilentSourceError struct {
	Address string
	Limit   time.Duration
}

// Error names the source and the time.
func (e *SilentSourceError) Error() string {
	return fmt.Sprintf("source %q has sent nothing for %v", e.Address, e.Limit)
}

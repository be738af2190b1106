package dispatch

import (
	"fmt"
	"time"
)

// StalledError reports that an endpoint or region sent nothing for the duration of a time-out.
type StalledError struct {
	Target  string
	Timeout time.Duration
}

// Error names the target and the time-out.
func (e *StalledError) Error() string {
	return fmt.Sprintf("%q sent nothing for %s", e.Target, e.Timeout)
}

// PositionError reports that a piece does not follow the pieces that the caller has received.
type PositionError struct {
	Want int
	Got  int
}

// Error names both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("received piece %d, expected piece %d", e.Got, e.Want)
}

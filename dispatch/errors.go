package dispatch

import (
	"fmt"
	"time"
)

// StalledError says that an endpoint or region sent nothing for a time.
type StalledError struct {
	Target  string
	Timeout time.Duration
}

// Error names the target and the time.
func (e *StalledError) Error() string {
	return fmt.Sprintf("%q sent nothing for %s", e.Target, e.Timeout)
}

// PositionError says that a piece did not follow those that the caller has.
type PositionError struct {
	Want int
	Got  int
}

// Error names both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("piece %d came where %d was expected", e.Got, e.Want)
}

package dispatch

import (
	"fmt"
	"time"

	"arbutusreel/origin"
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

// VersionError reports a piece that another software version wrote than the one that began the answer.
type VersionError struct {
	Began origin.Origin
	Got   origin.Origin
}

// Error names both software versions.
func (e *VersionError) Error() string {
	if !e.Got.Known() {
		return fmt.Sprintf("received a piece of an unknown software version, but version %q began the answer", e.Began.Software)
	}
	return fmt.Sprintf("received a piece of software version %q, but version %q began the answer", e.Got.Software, e.Began.Software)
}

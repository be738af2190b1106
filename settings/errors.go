package settings

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault describes one invalid setting; Value is its text as given.
type Fault struct {
	Setting string
	Value   string
	Reason  string
}

// Error returns the setting, its text and the reason.
func (f Fault) Error() string {
	return fmt.Sprintf("setting %q: value %q: %s", f.Setting, f.Value, f.Reason)
}

// Faults is the list of all faults of a set of settings.
type Faults = fault.List[Fault]

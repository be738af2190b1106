package settings

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault is one setting whose text is not valid; Value is the text as given.
type Fault struct {
	Setting string
	Value   string
	Reason  string
}

// Error names the setting, its text and the reason.
func (f Fault) Error() string {
	return fmt.Sprintf("setting %q: value %q: %s", f.Setting, f.Value, f.Reason)
}

// Faults is every fault of a set of settings.
type Faults = fault.List[Fault]

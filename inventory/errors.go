package inventory

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault is one part of an inventory that is not valid; Path names it as in teams[2].homeRegion.
type Fault struct {
	Path   string
	Value  string
	Reason string
}

// Error names the path, the value and the reason.
func (f Fault) Error() string {
	return fmt.Sprintf("inventory: %s: value %q: %s", f.Path, f.Value, f.Reason)
}

// Faults is every fault of an inventory.
type Faults = fault.List[Fault]

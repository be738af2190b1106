package inventory

import (
	"fmt"
	"strings"
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
type Faults []Fault

// Error lists every fault, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

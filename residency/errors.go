package residency

import "fmt"

// RefusedError is returned if data may not be in a region; it contains the rule and never the data.
type RefusedError struct {
	Region string
	Kind   string
	Name   string
	Reason string
}

// Error returns a message with the region, the kind and name of the restricting item, and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("region %q is refused by %s %q: %s", e.Region, e.Kind, e.Name, e.Reason)
}

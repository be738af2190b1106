package residency

import "fmt"

// RefusedError says that data may not be in a region; it names the rule and never the data.
type RefusedError struct {
	Region string
	Kind   string
	Name   string
	Reason string
}

// Error names the region, the kind and name of what bounds the data, and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("region %q is refused by %s %q: %s", e.Region, e.Kind, e.Name, e.Reason)
}

package routes

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault is a validation error of one route or service.
type Fault struct {
	Route   string
	Service string
	Reason  string
}

// Error returns the name of the route or service and the reason.
func (f *Fault) Error() string {
	if f.Route != "" {
		return fmt.Sprintf("route %q: %s", f.Route, f.Reason)
	}
	return fmt.Sprintf("service %q: %s", f.Service, f.Reason)
}

// Faults are all validation errors of a table.
type Faults = fault.List[*Fault]

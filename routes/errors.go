package routes

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault says what is wrong with a route or a service.
type Fault struct {
	Route   string
	Service string
	Reason  string
}

// Error names the route or the service and the reason.
func (f *Fault) Error() string {
	if f.Route != "" {
		return fmt.Sprintf("route %q: %s", f.Route, f.Reason)
	}
	return fmt.Sprintf("service %q: %s", f.Service, f.Reason)
}

// Faults are all faults of a table.
type Faults = fault.List[*Fault]

package routes

import (
	"fmt"

	"arbutusreel/fault"
)

// Fault is a validation error of one route, service or team.
type Fault struct {
	Route   string
	Service string
	Team    string
	Reason  string
}

// Error returns the name of the route, service or team and the reason.
func (f *Fault) Error() string {
	switch {
	case f.Route != "":
		return fmt.Sprintf("route %q: %s", f.Route, f.Reason)
	case f.Service == "":
		return fmt.Sprintf("team %q: %s", f.Team, f.Reason)
	}
	return fmt.Sprintf("service %q: %s", f.Service, f.Reason)
}

// Faults are all validation errors of a table.
type Faults = fault.List[*Fault]

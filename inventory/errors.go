package inventory

import (
	"fmt"

	"arbutusreel/fault"
)

// Kinds of names that a caller may ask for.
const (
	kindModel   = "model"
	kindAdapter = "adapter"
	kindVersion = "version"
)

// UnknownNameError says that a caller asks for something that the inventory does not offer by this name.
type UnknownNameError struct {
	Kind string
	Name string
	// Model is the model whose adapter or version is asked for.
	Model string
}

// Error names the kind, the name and its model.
func (e *UnknownNameError) Error() string {
	if e.Model == "" {
		return fmt.Sprintf("no %s has the name %q", e.Kind, e.Name)
	}
	return fmt.Sprintf("model %q offers no %s %q", e.Model, e.Kind, e.Name)
}

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

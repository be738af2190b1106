package inventory

import (
	"fmt"

	"arbutusreel/fault"
)

// Kinds of names that a caller may request.
const (
	kindModel   = "model"
	kindAdapter = "adapter"
	kindVersion = "version"
)

// UnknownNameError is returned for a requested model, adapter or version that the inventory does not offer.
type UnknownNameError struct {
	Kind string
	Name string
	// Model is the model whose adapter or version is requested; empty if the model itself is unknown.
	Model string
}

// Error returns a message with the kind, the name and its model.
func (e *UnknownNameError) Error() string {
	if e.Model == "" {
		return fmt.Sprintf("no %s has the name %q", e.Kind, e.Name)
	}
	return fmt.Sprintf("model %q offers no %s %q", e.Model, e.Kind, e.Name)
}

// Fault is one invalid value of an inventory; Path locates it, as in teams[2].homeRegion.
type Fault struct {
	Path   string
	Value  string
	Reason string
}

// Error returns a message with the path, the value and the reason.
func (f Fault) Error() string {
	return fmt.Sprintf("inventory: %s: value %q: %s", f.Path, f.Value, f.Reason)
}

// Faults is the list of all faults of an inventory.
type Faults = fault.List[Fault]

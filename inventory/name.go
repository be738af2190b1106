package inventory

import "strings"

// Separators of the parts of a name.
const (
	adapterSeparator = ":"
	versionSeparator = "@"
)

// Name identifies a model, an adapter or a version, as requested by callers or held by engines: MODEL, MODEL:ADAPTER or
// MODEL@VERSION.
type Name struct {
	Model   string
	Adapter string
	Version string
}

// ParseName returns the parts of a name; an absent part is empty.
func ParseName(s string) Name {
	model, version, _ := strings.Cut(s, versionSeparator)
	model, adapter, _ := strings.Cut(model, adapterSeparator)
	return Name{Model: model, Adapter: adapter, Version: version}
}

// String returns the name in the form that ParseName reads.
func (n Name) String() string {
	s := n.Model
	if n.Adapter != "" {
		s += adapterSeparator + n.Adapter
	}
	if n.Version != "" {
		s += versionSeparator + n.Version
	}
	return s
}

// WithoutVersion returns the name without its version, as callers request it.
func (n Name) WithoutVersion() string { return n.WithVersion("").String() }

// WithVersion returns the name with another version.
func (n Name) WithVersion(version string) Name {
	n.Version = version
	return n
}

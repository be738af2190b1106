package inventory

import "slices"

// Inventory is a validated configuration with its indexes.
type Inventory struct {
	contents Contents
	regions  map[string]Region
	links    map[[2]string]Link
	labels   map[string]Label
	models   map[string]Model
	adapters map[string]Adapter
	services map[string]Service
	classes  map[string]Class
	teams    map[string]Team
	// teamByDigest maps credential digests to team names.
	teamByDigest map[string]string
}

// New validates the contents and returns the inventory, or Faults if they are invalid.
func New(c Contents) (*Inventory, error) {
	inv := &Inventory{
		contents:     c,
		regions:      index(c.Regions, func(v Region) string { return v.Name }),
		links:        map[[2]string]Link{},
		labels:       index(c.Labels, func(v Label) string { return v.Name }),
		models:       index(c.Models, func(v Model) string { return v.Name }),
		adapters:     index(c.Adapters, func(v Adapter) string { return Name{Model: v.Model, Adapter: v.Name}.String() }),
		services:     index(c.Services, func(v Service) string { return v.Name }),
		classes:      index(c.Classes, func(v Class) string { return v.Name }),
		teams:        index(c.Teams, func(v Team) string { return v.Name }),
		teamByDigest: map[string]string{},
	}
	for _, l := range c.Links {
		inv.links[[2]string{l.From, l.To}] = l
		inv.links[[2]string{l.To, l.From}] = l
	}
	for _, t := range c.Teams {
		inv.teamByDigest[t.CredentialDigest] = t.Name
	}
	if faults := check(inv); len(faults) > 0 {
		return nil, faults
	}
	return inv, nil
}

func index[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// Contents returns the complete contents of the inventory.
func (inv *Inventory) Contents() Contents { return inv.contents }

// Rules returns the operators' rules.
func (inv *Inventory) Rules() Rules { return inv.contents.Rules }

// Region returns the region of that name.
func (inv *Inventory) Region(name string) (Region, bool) {
	r, ok := inv.regions[name]
	return r, ok
}

// Link returns the link between two regions, in either direction.
func (inv *Inventory) Link(a, b string) (Link, bool) {
	l, ok := inv.links[[2]string{a, b}]
	return l, ok
}

// Label returns the label of that name.
func (inv *Inventory) Label(name string) (Label, bool) {
	l, ok := inv.labels[name]
	return l, ok
}

// Model returns the model of that name.
func (inv *Inventory) Model(name string) (Model, bool) {
	m, ok := inv.models[name]
	return m, ok
}

// Adapter returns the adapter of the model; one that only the model lists has no size and no region bounds.
func (inv *Inventory) Adapter(model, adapter string) (Adapter, bool) {
	m, ok := inv.models[model]
	if !ok || !slices.Contains(m.Adapters, adapter) {
		return Adapter{}, false
	}
	name := Name{Model: model, Adapter: adapter}
	if a, ok := inv.adapters[name.String()]; ok {
		return a, true
	}
	return Adapter{Model: model, Name: adapter}, true
}

// Resolve returns the parts of a name that a caller requests. It returns *UnknownNameError for a name that is not
// defined, and for one with a version, since callers cannot choose a version.
func (inv *Inventory) Resolve(name string) (Name, error) {
	n := ParseName(name)
	if n.Version != "" {
		return Name{}, &UnknownNameError{Kind: kindVersion, Name: n.Version, Model: n.Model}
	}
	if _, ok := inv.models[n.Model]; !ok {
		return Name{}, &UnknownNameError{Kind: kindModel, Name: n.Model}
	}
	if n.Adapter == "" {
		return n, nil
	}
	if _, ok := inv.Adapter(n.Model, n.Adapter); !ok {
		return Name{}, &UnknownNameError{Kind: kindAdapter, Name: n.Adapter, Model: n.Model}
	}
	return n, nil
}

// Service returns the service of that name.
func (inv *Inventory) Service(name string) (Service, bool) {
	s, ok := inv.services[name]
	return s, ok
}

// Class returns the class of that name.
func (inv *Inventory) Class(name string) (Class, bool) {
	c, ok := inv.classes[name]
	return c, ok
}

// Team returns the team of that name.
func (inv *Inventory) Team(name string) (Team, bool) {
	t, ok := inv.teams[name]
	return t, ok
}

// TeamByCredential returns the team whose token has the SHA-256 digest, in lower-case hexadecimal.
func (inv *Inventory) TeamByCredential(digest string) (Team, bool) {
	name, ok := inv.teamByDigest[digest]
	if !ok {
		return Team{}, false
	}
	return inv.Team(name)
}

// ServicesOfModel returns the names of the services that offer the model.
func (inv *Inventory) ServicesOfModel(model string) []string {
	var names []string
	for _, s := range inv.contents.Services {
		if s.Kind == KindModel && slices.Contains(s.Models, model) {
			names = append(names, s.Name)
		}
	}
	return names
}

// OfferedNames returns the names of the models, each followed by those of its adapters that a service offers.
func (inv *Inventory) OfferedNames() []string {
	var names []string
	for _, m := range inv.contents.Models {
		names = append(names, m.Name)
		for _, adapter := range m.Adapters {
			name := Name{Model: m.Name, Adapter: adapter}.String()
			if len(inv.ServicesOfModel(name)) > 0 {
				names = append(names, name)
			}
		}
	}
	return names
}

// WithRules returns a copy of the inventory with other rules, or Faults if they are invalid.
func (inv *Inventory) WithRules(r Rules) (*Inventory, error) {
	c := inv.contents
	c.Rules = r
	return New(c)
}

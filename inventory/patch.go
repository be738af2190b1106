package inventory

import (
	"fmt"
	"slices"
)

// Patch is a partial change of an inventory.
type Patch struct {
	// Put holds the items to add or to replace; an item replaces the one of the same name completely. Put.Rules is not
	// used.
	Put Contents
	// Rules replaces all rules; nil keeps them.
	Rules *Rules
	// Remove lists paths of items, as in teams[lahore-club]; a link is named by its two regions, as in
	// links[lahore-karachi].
	Remove []string
}

// WithPatch returns a copy of the inventory with the patch applied. It returns Faults if the patch removes an item that
// does not exist, removes and puts the same item, or has an invalid result.
func (inv *Inventory) WithPatch(p Patch) (*Inventory, error) {
	r := newRemovals(p.Remove)
	c := inv.contents
	c.Regions = patchItems(r, "regions", c.Regions, p.Put.Regions, func(v Region) []string { return []string{v.Name} })
	c.Links = patchItems(r, "links", c.Links, p.Put.Links, linkNames)
	c.Labels = patchItems(r, "labels", c.Labels, p.Put.Labels, func(v Label) []string { return []string{v.Name} })
	c.Models = patchItems(r, "models", c.Models, p.Put.Models, func(v Model) []string { return []string{v.Name} })
	c.Adapters = patchItems(r, "adapters", c.Adapters, p.Put.Adapters, func(v Adapter) []string {
		return []string{Name{Model: v.Model, Adapter: v.Name}.String()}
	})
	c.Services = patchItems(r, "services", c.Services, p.Put.Services, func(v Service) []string { return []string{v.Name} })
	c.Classes = patchItems(r, "classes", c.Classes, p.Put.Classes, func(v Class) []string { return []string{v.Name} })
	c.Teams = patchItems(r, "teams", c.Teams, p.Put.Teams, func(v Team) []string { return []string{v.Name} })
	if p.Rules != nil {
		c.Rules = *p.Rules
	}
	if faults := r.faults(); len(faults) > 0 {
		return nil, faults
	}
	return New(c)
}

// linkNames returns the names of a link in both directions, since a link has none.
func linkNames(l Link) []string { return []string{l.From + "-" + l.To, l.To + "-" + l.From} }

// removals holds the paths that a patch removes, and records which of them were found and which are also put.
type removals struct {
	paths []string
	found map[string]bool
	put   map[string]bool
}

func newRemovals(paths []string) *removals {
	return &removals{paths: paths, found: map[string]bool{}, put: map[string]bool{}}
}

// match reports whether a path names the item of a list, and records the path in seen.
func (r *removals) match(list string, names []string, seen map[string]bool) bool {
	matched := false
	for _, name := range names {
		path := fmt.Sprintf("%s[%s]", list, name)
		if slices.Contains(r.paths, path) {
			seen[path] = true
			matched = true
		}
	}
	return matched
}

// faults returns the faults of the paths; it is called after all lists are patched.
func (r *removals) faults() Faults {
	var faults Faults
	for i, path := range r.paths {
		var reason string
		switch {
		case r.put[path]:
			reason = "the item is also put"
		case !r.found[path]:
			reason = "no item has this path"
		default:
			continue
		}
		faults = append(faults, Fault{Path: fmt.Sprintf("remove[%d]", i), Value: path, Reason: reason})
	}
	return faults
}

// patchItems returns the items of a list without the removed ones and with the put ones, each in the position of the
// item of the same name or at the end. An item that is put twice appears twice, which New reports as a fault.
func patchItems[T any](r *removals, list string, items, put []T, names func(T) []string) []T {
	result := make([]T, 0, len(items)+len(put))
	positions := map[string]int{}
	for _, item := range items {
		if r.match(list, names(item), r.found) {
			continue
		}
		for _, name := range names(item) {
			positions[name] = len(result)
		}
		result = append(result, item)
	}
	for _, item := range put {
		r.match(list, names(item), r.put)
		position, ok := positions[names(item)[0]]
		if !ok {
			result = append(result, item)
			continue
		}
		result[position] = item
		for _, name := range names(item) {
			delete(positions, name)
		}
	}
	return result
}

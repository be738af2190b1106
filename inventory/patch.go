package inventory

import (
	"fmt"
	"slices"
)

// Patch changes parts of an inventory and leaves the rest as it is.
type Patch struct {
	// Put holds the items that are added, or that replace the item of the same name whole. Its rules are not used.
	Put Contents
	// Rules replaces the rules whole; nil keeps them.
	Rules *Rules
	// Remove names items as in teams[lahore-club]; a link goes by its ends, as in links[lahore-karachi].
	Remove []string
}

// WithPatch returns the inventory with the patch applied. A patch that removes what is not there, or both removes and
// puts an item, and one whose result is invalid, return Faults.
func (inv *Inventory) WithPatch(p Patch) (*Inventory, error) {
	r := newRemovals(p.Remove)
	c := inv.contents
	c.Regions = patched(r, "regions", c.Regions, p.Put.Regions, func(v Region) []string { return []string{v.Name} })
	c.Links = patched(r, "links", c.Links, p.Put.Links, linkNames)
	c.Labels = patched(r, "labels", c.Labels, p.Put.Labels, func(v Label) []string { return []string{v.Name} })
	c.Models = patched(r, "models", c.Models, p.Put.Models, func(v Model) []string { return []string{v.Name} })
	c.Adapters = patched(r, "adapters", c.Adapters, p.Put.Adapters, func(v Adapter) []string {
		return []string{Name{Model: v.Model, Adapter: v.Name}.String()}
	})
	c.Services = patched(r, "services", c.Services, p.Put.Services, func(v Service) []string { return []string{v.Name} })
	c.Classes = patched(r, "classes", c.Classes, p.Put.Classes, func(v Class) []string { return []string{v.Name} })
	c.Teams = patched(r, "teams", c.Teams, p.Put.Teams, func(v Team) []string { return []string{v.Name} })
	if p.Rules != nil {
		c.Rules = *p.Rules
	}
	if faults := r.faults(); len(faults) > 0 {
		return nil, faults
	}
	return New(c)
}

// linkNames returns both names of a link, which has no direction.
func linkNames(l Link) []string { return []string{l.From + "-" + l.To, l.To + "-" + l.From} }

// removals is the paths of a patch that are to be removed, with how often each was found and whether it is also put.
type removals struct {
	paths []string
	found map[string]bool
	put   map[string]bool
}

func newRemovals(paths []string) *removals {
	return &removals{paths: paths, found: map[string]bool{}, put: map[string]bool{}}
}

// names reports whether a path names the item of a list, and notes it in seen.
func (r *removals) names(list string, names []string, seen map[string]bool) bool {
	named := false
	for _, name := range names {
		path := fmt.Sprintf("%s[%s]", list, name)
		if slices.Contains(r.paths, path) {
			seen[path] = true
			named = true
		}
	}
	return named
}

// faults returns what is wrong with the paths once every list was patched.
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

// patched returns the items of a list without those to remove, and with those to put: in the place of the item of the
// same name, or at the end. An item that is put twice is there twice, which the check of the inventory finds.
func patched[T any](r *removals, list string, items, put []T, names func(T) []string) []T {
	result := make([]T, 0, len(items)+len(put))
	places := map[string]int{}
	for _, item := range items {
		if r.names(list, names(item), r.found) {
			continue
		}
		for _, name := range names(item) {
			places[name] = len(result)
		}
		result = append(result, item)
	}
	for _, item := range put {
		r.names(list, names(item), r.put)
		place, ok := places[names(item)[0]]
		if !ok {
			result = append(result, item)
			continue
		}
		result[place] = item
		for _, name := range names(item) {
			delete(places, name)
		}
	}
	return result
}

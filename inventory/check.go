package inventory

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// maxDuration bounds each duration of an inventory.
const maxDuration = 30 * 24 * time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-zA-Z0-9._-]{0,62})$`)

// checker gathers the faults of one inventory.
type checker struct {
	inv    *Inventory
	faults Faults
}

func check(inv *Inventory) Faults {
	c := &checker{inv: inv}
	c.regions()
	c.links()
	c.labels()
	c.models()
	c.adapters()
	c.services()
	c.classes()
	c.teams()
	c.rules()
	return c.faults
}

func (c *checker) add(path, value, reason string) {
	c.faults = append(c.faults, Fault{Path: path, Value: value, Reason: reason})
}

// names checks the names of a list: well formed and each used once.
func (c *checker) names(list string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if !namePattern.MatchString(name) {
			c.add(path, name, "a name has 1 to 63 letters, digits, dots, underscores and hyphens and begins with a lower-case letter or digit")
		}
		if seen[name] {
			c.add(path, name, "the name is used twice")
		}
		seen[name] = true
	}
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, name(item))
	}
	return names
}

// exists checks that a name is defined.
func exists[T any](c *checker, path, kind, name string, defined map[string]T) {
	if _, ok := defined[name]; !ok {
		c.add(path, name, "no "+kind+" has this name")
	}
}

// exist checks that each name of a list is defined.
func exist[T any](c *checker, path, kind string, names []string, defined map[string]T) {
	for i, name := range names {
		exists(c, fmt.Sprintf("%s[%d]", path, i), kind, name, defined)
	}
}

func (c *checker) atLeastZero(path string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.add(path, fmt.Sprint(value), "the value is zero or more and finite")
	}
}

func (c *checker) share(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.add(path, fmt.Sprint(value), "the value lies between 0 and 1")
	}
}

func (c *checker) regions() {
	regions := c.inv.contents.Regions
	c.names("regions", namesOf(regions, func(r Region) string { return r.Name }))
	if len(regions) == 0 {
		c.add("regions", "", "at least one region is required")
	}
	for i, r := range regions {
		c.names(fmt.Sprintf("regions[%d].failureDomains", i), r.FailureDomains)
		c.atLeastZero(fmt.Sprintf("regions[%d].costPerThousandTokens", i), r.CostPerThousandTokens)
	}
}

func (c *checker) links() {
	for i, l := range c.inv.contents.Links {
		path := fmt.Sprintf("links[%d]", i)
		exists(c, path+".from", "region", l.From, c.inv.regions)
		exists(c, path+".to", "region", l.To, c.inv.regions)
		if l.From == l.To {
			c.add(path+".to", l.To, "a link joins two regions")
		}
		if l.BytesPerSecond <= 0 {
			c.add(path+".bytesPerSecond", fmt.Sprint(l.BytesPerSecond), "the value is greater than zero")
		}
		c.atLeastZero(path+".roundTripMillis", float64(l.RoundTrip))
		if l.RoundTrip > maxDuration {
			c.add(path+".roundTripMillis", fmt.Sprint(l.RoundTrip.Milliseconds()), "the value is at most thirty days")
		}
		c.atLeastZero(path+".costPerGigabyte", l.CostPerGigabyte)
	}
}

func (c *checker) labels() {
	c.names("labels", namesOf(c.inv.contents.Labels, func(l Label) string { return l.Name }))
	for i, l := range c.inv.contents.Labels {
		path := fmt.Sprintf("labels[%d].allowedRegions", i)
		exist(c, path, "region", l.AllowedRegions, c.inv.regions)
		if len(l.AllowedRegions) == 0 {
			c.add(path, "", "a label allows at least one region")
		}
	}
}

func (c *checker) models() {
	c.names("models", namesOf(c.inv.contents.Models, func(m Model) string { return m.Name }))
	for i, m := range c.inv.contents.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.names(path+".versions", m.Versions)
		c.names(path+".adapters", m.Adapters)
		exist(c, path+".allowedRegions", "region", m.AllowedRegions, c.inv.regions)
		c.atLeastZero(path+".weightBytes", float64(m.WeightBytes))
		if m.Version != "" && !slices.Contains(m.Versions, m.Version) {
			c.add(path+".version", m.Version, "no version of the model has this name")
		}
	}
}

func (c *checker) adapters() {
	seen := map[string]bool{}
	for i, a := range c.inv.contents.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		exists(c, path+".model", kindModel, a.Model, c.inv.models)
		if m, ok := c.inv.models[a.Model]; ok && !slices.Contains(m.Adapters, a.Name) {
			c.add(path+".name", a.Name, "the model has no adapter of this name")
		}
		exist(c, path+".allowedRegions", "region", a.AllowedRegions, c.inv.regions)
		c.atLeastZero(path+".weightBytes", float64(a.WeightBytes))
		name := Name{Model: a.Model, Adapter: a.Name}.String()
		if seen[name] {
			c.add(path+".name", a.Name, "the adapter is listed twice")
		}
		seen[name] = true
	}
}

// offers checks the names that a service offers: an adapter needs its model in the list.
func (c *checker) offers(path string, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		n, err := c.inv.Resolve(name)
		if err != nil {
			c.add(at, name, err.Error())
			continue
		}
		if n.Adapter != "" && !slices.Contains(names, n.Model) {
			c.add(at, name, "the service does not offer the adapter's model")
		}
	}
}

// offeredOnce checks that no other service offers what a service offers, since callers name no service.
func (c *checker) offeredOnce(path string, s Service, offered map[string]string) {
	if s.Kind != KindModel {
		return
	}
	for i, name := range s.Models {
		if other, ok := offered[name]; ok {
			c.add(fmt.Sprintf("%s[%d]", path, i), name, fmt.Sprintf("service %q offers it already", other))
		}
		offered[name] = s.Name
	}
}

func (c *checker) services() {
	c.names("services", namesOf(c.inv.contents.Services, func(s Service) string { return s.Name }))
	offered := map[string]string{}
	for i, s := range c.inv.contents.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.offers(path+".models", s.Models)
		c.offeredOnce(path+".models", s, offered)
		exist(c, path+".allowedRegions", "region", s.AllowedRegions, c.inv.regions)
		c.atLeastZero(path+".minEndpointsPerModel", float64(s.MinEndpointsPerModel))
		if s.Kind == KindPlain && len(s.Models) > 0 {
			c.add(path+".models", s.Models[0], "a plain service has no models")
		}
	}
}

func (c *checker) classes() {
	c.names("classes", namesOf(c.inv.contents.Classes, func(v Class) string { return v.Name }))
	for i, v := range c.inv.contents.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if v.Patience <= 0 {
			c.add(path+".patienceMillis", fmt.Sprint(v.Patience.Milliseconds()), "the value is greater than zero")
		}
		if v.Patience > maxDuration {
			c.add(path+".patienceMillis", fmt.Sprint(v.Patience.Milliseconds()), "the value is at most thirty days")
		}
		c.atLeastZero(path+".weight", v.Weight)
	}
}

func (c *checker) teams() {
	c.names("teams", namesOf(c.inv.contents.Teams, func(t Team) string { return t.Name }))
	seen := map[string]bool{}
	for i, t := range c.inv.contents.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		exists(c, path+".homeRegion", "region", t.HomeRegion, c.inv.regions)
		exist(c, path+".classes", "class", t.Classes, c.inv.classes)
		exists(c, path+".defaultClass", "class", t.DefaultClass, c.inv.classes)
		exist(c, path+".labels", "label", t.Labels, c.inv.labels)
		c.atLeastZero(path+".tokensPerSecond", t.TokensPerSecond)
		c.atLeastZero(path+".weight", t.Weight)
		if b, err := hex.DecodeString(t.CredentialDigest); err != nil || len(b) != digestBytes {
			c.add(path+".credentialDigest", t.CredentialDigest, "a digest is 64 hexadecimal digits")
		}
		if seen[t.CredentialDigest] {
			c.add(path+".credentialDigest", t.CredentialDigest, "two teams have the same credential")
		}
		seen[t.CredentialDigest] = true
	}
}

func (c *checker) rules() {
	r := c.inv.contents.Rules
	c.atLeastZero("rules.objective.cost", r.Objective.Cost)
	c.atLeastZero("rules.objective.latency", r.Objective.Latency)
	c.atLeastZero("rules.objective.away", r.Objective.Away)
	c.share("rules.retryBudget", r.RetryBudget)
	c.share("rules.reservationQuantile", r.ReservationQuantile)
	c.share("rules.headroom", r.Headroom)
	c.atLeastZero("rules.maxPlacementChanges", float64(r.MaxPlacementChanges))
	c.atLeastZero("rules.weightStoreBytesPerSecond", float64(r.WeightStoreBytesPerSecond))
}

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

// maxDuration is the upper bound of each duration in an inventory.
const maxDuration = 30 * 24 * time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-zA-Z0-9._-]{0,62})$`)

// checker collects the faults of one inventory.
type checker struct {
	inv    *Inventory
	faults Faults
}

func check(inv *Inventory) Faults {
	c := &checker{inv: inv}
	c.checkRegions()
	c.checkLinks()
	c.checkLabels()
	c.checkModels()
	c.checkAdapters()
	c.checkServices()
	c.checkClasses()
	c.checkTeams()
	c.checkRules()
	return c.faults
}

func (c *checker) addFault(path, value, reason string) {
	c.faults = append(c.faults, Fault{Path: path, Value: value, Reason: reason})
}

// checkNames checks that the names of a list are well formed and unique.
func (c *checker) checkNames(list string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if !namePattern.MatchString(name) {
			c.addFault(path, name,
				"a name must have 1 to 63 letters, digits, dots, underscores and hyphens and begin with a lower-case letter or digit")
		}
		if seen[name] {
			c.addFault(path, name, "the name is used twice")
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

// checkDefined checks that a name is defined.
func checkDefined[T any](c *checker, path, kind, name string, defined map[string]T) {
	if _, ok := defined[name]; !ok {
		c.addFault(path, name, "no "+kind+" has this name")
	}
}

// checkAllDefined checks that each name of a list is defined.
func checkAllDefined[T any](c *checker, path, kind string, names []string, defined map[string]T) {
	for i, name := range names {
		checkDefined(c, fmt.Sprintf("%s[%d]", path, i), kind, name, defined)
	}
}

func (c *checker) checkNonNegative(path string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.addFault(path, fmt.Sprint(value), "the value must be zero or more and finite")
	}
}

func (c *checker) checkFraction(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.addFault(path, fmt.Sprint(value), "the value must be between 0 and 1")
	}
}

func (c *checker) checkRegions() {
	regions := c.inv.contents.Regions
	c.checkNames("regions", namesOf(regions, func(r Region) string { return r.Name }))
	if len(regions) == 0 {
		c.addFault("regions", "", "at least one region is required")
	}
	for i, r := range regions {
		c.checkNames(fmt.Sprintf("regions[%d].failureDomains", i), r.FailureDomains)
		c.checkNonNegative(fmt.Sprintf("regions[%d].costPerThousandTokens", i), r.CostPerThousandTokens)
	}
}

func (c *checker) checkLinks() {
	for i, l := range c.inv.contents.Links {
		path := fmt.Sprintf("links[%d]", i)
		checkDefined(c, path+".from", "region", l.From, c.inv.regions)
		checkDefined(c, path+".to", "region", l.To, c.inv.regions)
		if l.From == l.To {
			c.addFault(path+".to", l.To, "a link must join two different regions")
		}
		if l.BytesPerSecond <= 0 {
			c.addFault(path+".bytesPerSecond", fmt.Sprint(l.BytesPerSecond), "the value must be greater than zero")
		}
		c.checkNonNegative(path+".roundTripMillis", float64(l.RoundTrip))
		if l.RoundTrip > maxDuration {
			c.addFault(path+".roundTripMillis", fmt.Sprint(l.RoundTrip.Milliseconds()), "the value must be at most thirty days")
		}
		c.checkNonNegative(path+".costPerGigabyte", l.CostPerGigabyte)
	}
}

func (c *checker) checkLabels() {
	c.checkNames("labels", namesOf(c.inv.contents.Labels, func(l Label) string { return l.Name }))
	for i, l := range c.inv.contents.Labels {
		path := fmt.Sprintf("labels[%d].allowedRegions", i)
		checkAllDefined(c, path, "region", l.AllowedRegions, c.inv.regions)
		if len(l.AllowedRegions) == 0 {
			c.addFault(path, "", "a label must allow at least one region")
		}
	}
}

func (c *checker) checkModels() {
	c.checkNames("models", namesOf(c.inv.contents.Models, func(m Model) string { return m.Name }))
	for i, m := range c.inv.contents.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkNames(path+".versions", m.Versions)
		c.checkNames(path+".adapters", m.Adapters)
		checkAllDefined(c, path+".allowedRegions", "region", m.AllowedRegions, c.inv.regions)
		c.checkNonNegative(path+".weightBytes", float64(m.WeightBytes))
		if m.Version != "" && !slices.Contains(m.Versions, m.Version) {
			c.addFault(path+".version", m.Version, "no version of the model has this name")
		}
	}
}

func (c *checker) checkAdapters() {
	seen := map[string]bool{}
	for i, a := range c.inv.contents.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		checkDefined(c, path+".model", kindModel, a.Model, c.inv.models)
		if m, ok := c.inv.models[a.Model]; ok && !slices.Contains(m.Adapters, a.Name) {
			c.addFault(path+".name", a.Name, "the model has no adapter of this name")
		}
		checkAllDefined(c, path+".allowedRegions", "region", a.AllowedRegions, c.inv.regions)
		c.checkNonNegative(path+".weightBytes", float64(a.WeightBytes))
		name := Name{Model: a.Model, Adapter: a.Name}.String()
		if seen[name] {
			c.addFault(path+".name", a.Name, "the adapter is listed twice")
		}
		seen[name] = true
	}
}

// checkOffered checks that each name that a service offers is defined, and that an adapter's model is in the list too.
func (c *checker) checkOffered(path string, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		n, err := c.inv.Resolve(name)
		if err != nil {
			c.addFault(at, name, err.Error())
			continue
		}
		if n.Adapter != "" && !slices.Contains(names, n.Model) {
			c.addFault(at, name, "the service does not offer the adapter's model")
		}
	}
}

// checkOfferedOnce checks that no two model services offer the same name, since callers request a model without naming
// a service.
func (c *checker) checkOfferedOnce(path string, s Service, offered map[string]string) {
	if s.Kind != KindModel {
		return
	}
	for i, name := range s.Models {
		if other, ok := offered[name]; ok {
			c.addFault(fmt.Sprintf("%s[%d]", path, i), name, fmt.Sprintf("service %q offers it already", other))
		}
		offered[name] = s.Name
	}
}

func (c *checker) checkServices() {
	c.checkNames("services", namesOf(c.inv.contents.Services, func(s Service) string { return s.Name }))
	offered := map[string]string{}
	for i, s := range c.inv.contents.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkOffered(path+".models", s.Models)
		c.checkOfferedOnce(path+".models", s, offered)
		checkAllDefined(c, path+".allowedRegions", "region", s.AllowedRegions, c.inv.regions)
		c.checkNonNegative(path+".minEndpointsPerModel", float64(s.MinEndpointsPerModel))
		if s.Kind == KindPlain && len(s.Models) > 0 {
			c.addFault(path+".models", s.Models[0], "a plain service must have no models")
		}
	}
}

func (c *checker) checkClasses() {
	c.checkNames("classes", namesOf(c.inv.contents.Classes, func(v Class) string { return v.Name }))
	for i, v := range c.inv.contents.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if v.Patience <= 0 {
			c.addFault(path+".patienceMillis", fmt.Sprint(v.Patience.Milliseconds()), "the value must be greater than zero")
		}
		if v.Patience > maxDuration {
			c.addFault(path+".patienceMillis", fmt.Sprint(v.Patience.Milliseconds()), "the value must be at most thirty days")
		}
		c.checkNonNegative(path+".weight", v.Weight)
	}
}

func (c *checker) checkTeams() {
	c.checkNames("teams", namesOf(c.inv.contents.Teams, func(t Team) string { return t.Name }))
	seen := map[string]bool{}
	for i, t := range c.inv.contents.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		checkDefined(c, path+".homeRegion", "region", t.HomeRegion, c.inv.regions)
		checkAllDefined(c, path+".classes", "class", t.Classes, c.inv.classes)
		checkDefined(c, path+".defaultClass", "class", t.DefaultClass, c.inv.classes)
		checkAllDefined(c, path+".labels", "label", t.Labels, c.inv.labels)
		c.checkNonNegative(path+".tokensPerSecond", t.TokensPerSecond)
		c.checkNonNegative(path+".weight", t.Weight)
		if b, err := hex.DecodeString(t.CredentialDigest); err != nil || len(b) != digestBytes {
			c.addFault(path+".credentialDigest", t.CredentialDigest, "a digest must be 64 hexadecimal digits")
		}
		if seen[t.CredentialDigest] {
			c.addFault(path+".credentialDigest", t.CredentialDigest, "two teams have the same credential")
		}
		seen[t.CredentialDigest] = true
	}
}

func (c *checker) checkRules() {
	r := c.inv.contents.Rules
	c.checkNonNegative("rules.objective.cost", r.Objective.Cost)
	c.checkNonNegative("rules.objective.latency", r.Objective.Latency)
	c.checkNonNegative("rules.objective.away", r.Objective.Away)
	c.checkFraction("rules.retryBudget", r.RetryBudget)
	c.checkFraction("rules.reservationQuantile", r.ReservationQuantile)
	c.checkFraction("rules.headroom", r.Headroom)
	c.checkNonNegative("rules.maxPlacementChanges", float64(r.MaxPlacementChanges))
	c.checkNonNegative("rules.weightStoreBytesPerSecond", float64(r.WeightStoreBytesPerSecond))
}

package inventory

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// valid returns contents without a fault.
func valid() Contents {
	return Contents{
		Regions:  []Region{{Name: "north", FailureDomains: []string{"north-a"}}, {Name: "south"}},
		Links:    []Link{{From: "north", To: "south", BytesPerSecond: 1}},
		Labels:   []Label{{Name: "bound", AllowedRegions: []string{"north"}}},
		Models:   []Model{{Name: "m"}},
		Services: []Service{{Name: "s", Models: []string{"m"}}, {Name: "desk", Kind: KindPlain}},
		Classes:  []Class{{Name: "c", Patience: 1}},
		Teams: []Team{{
			Name:             "t",
			HomeRegion:       "north",
			CredentialDigest: strings.Repeat("ab", digestBytes),
			DefaultClass:     "c",
			Labels:           []string{"bound"},
		}},
	}
}

func TestNewNamesThePathOfEachFault(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Contents)
		want   []string
	}{
		{name: "valid", change: func(*Contents) {}},
		{name: "no region", change: func(c *Contents) { *c = Contents{} }, want: []string{"regions"}},
		{name: "name used twice", change: func(c *Contents) { c.Models = append(c.Models, c.Models[0]) }, want: []string{"models[1].name"}},
		{name: "link to itself", change: func(c *Contents) { c.Links[0].To = "north" }, want: []string{"links[0].to"}},
		{name: "unknown region of a label", change: func(c *Contents) { c.Labels[0].AllowedRegions[0] = "west" }, want: []string{"labels[0].allowedRegions[0]"}},
		{name: "label without a region", change: func(c *Contents) { c.Labels[0].AllowedRegions = nil }, want: []string{"labels[0].allowedRegions"}},
		{name: "unknown model of a service", change: func(c *Contents) { c.Services[0].Models[0] = "x" }, want: []string{"services[0].models[0]"}},
		{name: "version in force that is not listed", change: func(c *Contents) { c.Models[0].Version = "v1" }, want: []string{"models[0].version"}},
		{name: "unknown adapter of a service", change: func(c *Contents) { c.Services[0].Models = []string{"m", "m:x"} }, want: []string{"services[0].models[1]"}},
		{name: "version of a service", change: func(c *Contents) { c.Services[0].Models = []string{"m@v1"} }, want: []string{"services[0].models[0]"}},
		{name: "adapter of a service without its model", change: func(c *Contents) {
			c.Models[0].Adapters = []string{"x"}
			c.Services[0].Models = []string{"m:x"}
		}, want: []string{"services[0].models[0]"}},
		{name: "adapter that its model lacks", change: func(c *Contents) { c.Adapters = []Adapter{{Model: "m", Name: "x"}} }, want: []string{"adapters[0].name"}},
		{name: "adapter of an unknown model", change: func(c *Contents) { c.Adapters = []Adapter{{Model: "y", Name: "x"}} }, want: []string{"adapters[0].model"}},
		{name: "adapter in an unknown region", change: func(c *Contents) {
			c.Models[0].Adapters = []string{"x"}
			c.Adapters = []Adapter{{Model: "m", Name: "x", AllowedRegions: []string{"west"}}}
		}, want: []string{"adapters[0].allowedRegions[0]"}},
		{name: "model of two services", change: func(c *Contents) {
			c.Services = append(c.Services, Service{Name: "other", Models: []string{"m"}})
		}, want: []string{"services[2].models[0]"}},
		{name: "model listed twice", change: func(c *Contents) { c.Services[0].Models = []string{"m", "m"} }, want: []string{"services[0].models[1]"}},
		{name: "models of a plain service", change: func(c *Contents) { c.Services[1].Models = []string{"m"} }, want: []string{"services[1].models"}},
		{name: "class without patience", change: func(c *Contents) { c.Classes[0].Patience = 0 }, want: []string{"classes[0].patienceMillis"}},
		{name: "unknown home", change: func(c *Contents) { c.Teams[0].HomeRegion = "west" }, want: []string{"teams[0].homeRegion"}},
		{name: "short digest", change: func(c *Contents) { c.Teams[0].CredentialDigest = "ab" }, want: []string{"teams[0].credentialDigest"}},
		{name: "share above one", change: func(c *Contents) { c.Rules.RetryBudget = 1.5 }, want: []string{"rules.retryBudget"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			contents := valid()
			c.change(&contents)
			_, err := New(contents)
			var faults Faults
			errors.As(err, &faults)
			var got []string
			for _, f := range faults {
				got = append(got, f.Path)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("paths of the faults (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWithRulesLeavesTheOriginal(t *testing.T) {
	inv, err := New(valid())
	if err != nil {
		t.Fatal(err)
	}
	changed, err := inv.WithRules(Rules{Headroom: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	if inv.Rules().Headroom != 0 || changed.Rules().Headroom != 0.5 {
		t.Errorf("headroom is %v before and %v after", inv.Rules().Headroom, changed.Rules().Headroom)
	}
	if got := inv.ServicesOfModel("m"); !slices.Equal(got, []string{"s"}) {
		t.Errorf("services of the model are %q", got)
	}
}

func TestResolve(t *testing.T) {
	c := valid()
	c.Models[0].Versions = []string{"v1"}
	c.Models[0].Adapters = []string{"x"}
	inv, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		want error
	}{
		{"m", nil},
		{"m:x", nil},
		{"n", &UnknownNameError{Kind: "model", Name: "n"}},
		{"m:y", &UnknownNameError{Kind: "adapter", Name: "y", Model: "m"}},
		{"m@v1", &UnknownNameError{Kind: "version", Name: "v1", Model: "m"}},
		{"m:x@v1", &UnknownNameError{Kind: "version", Name: "v1", Model: "m"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := inv.Resolve(test.name)
			if diff := cmp.Diff(test.want, err); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			if got := ParseName(test.name).String(); got != test.name {
				t.Errorf("the name is written %q", got)
			}
		})
	}
}

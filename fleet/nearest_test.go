package fleet

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// gatewayInState returns a gateway whose name begins with its state.
func gatewayInState(name, region string) Gateway {
	return Gateway{
		Name: name, Region: region, Ready: strings.HasPrefix(name, "ready"), Lingering: strings.HasPrefix(name, "lingering"),
		Closing: strings.HasPrefix(name, "closing"),
	}
}

// TestNearest guards against sending callers out of the home regions of their routes, and to another region while a
// gateway of their own region still takes requests. Gateways are written as state@region; one that is neither ready nor
// lingering nor closing is starting, or about to end.
func TestNearest(t *testing.T) {
	var (
		free     = Homes{Known: true}
		here     = Homes{Known: true, Restricted: true, Shared: []string{"here"}, Some: []string{"here"}}
		home     = Homes{Known: true, Restricted: true, Shared: []string{"home"}, Some: []string{"home"}}
		both     = Homes{Known: true, Restricted: true, Shared: []string{"here", "home"}, Some: []string{"here", "home"}}
		differ   = Homes{Known: true, Restricted: true, Shared: []string{"here"}, Some: []string{"here", "home"}}
		disjoint = Homes{Known: true, Restricted: true, Some: []string{"home", "here"}}
		nowhere  = Homes{Known: true, Restricted: true}
		unknown  = Homes{}
	)
	cases := []struct {
		name, gateways string
		homes          Homes
		want           string
		choice         Choice
	}{
		{"ready in the region", "ready@here lingering@here ready@home", both, "ready@here", OwnRegion},
		{"ready in a region that is no home", "ready@here ready@home", home, "ready@here", OwnRegion},
		{"all ready in the region", "ready@here ready2@here ready@home", free, "ready@here ready2@here", OwnRegion},
		{"lingering in the region", "starting@here lingering@here closing@here ready@home", both, "lingering@here", OwnLingering},
		{"lingering in a region that is no home", "lingering@here ready@home", home, "lingering@here", OwnLingering},
		{"closing in the region, a shared home ready", "closing@here ready@home ready@there", both, "ready@home", HomeRegion},
		{"closing in the region, no homes", "closing@here ready@there", free, "ready@there", HomeRegion},
		{"closing in the region, the homes differ", "closing@here ready@home ready@there", differ, "closing@here", OwnClosing},
		{"closing in the region, the shared home not ready", "closing@here lingering@home ready@there", both, "closing@here", OwnClosing},
		{"closing in the region, it is the only home", "closing@here ready@there", here, "closing@here", OwnClosing},
		{"starting in the region, a shared home ready", "starting@here ready@home ready@there", both, "ready@home", HomeRegion},
		{"starting in the region, the homes differ", "starting@here ready@home ready@there", differ, "", NoGateway},
		{"starting in the region, the homes are disjoint", "starting@here ready@home ready@there", disjoint, "", NoGateway},
		{"starting in the region, no homes", "starting@here ready@there", free, "ready@there", HomeRegion},
		{"region lost, a shared home ready", "ready@home ready@there", both, "ready@home", HomeRegion},
		{"region lost, the homes differ", "ready@home ready@there", differ, "ready@home", LostRegion},
		{"region lost, no home ready", "starting@home ready@there", both, "ready@there", LostRegion},
		{"region lost, it was the only home", "ready@there", here, "ready@there", LostRegion},
		{"region lost, no homes", "ready@there", free, "ready@there", HomeRegion},
		{"region lost, no document known", "ready@there", unknown, "", NoGateway},
		{"starting in the region, no document known", "starting@here ready@there", unknown, "", NoGateway},
		{"ready in the region, no document known", "ready@here ready@there", unknown, "ready@here", OwnRegion},
		{"other regions stop too", "starting@here lingering@home closing@there", free, "", NoGateway},
		{"lingering in a region that is no home, starting in the caller's", "starting@here ready@there lingering@there", home, "", NoGateway},
		{"starting in the region, homes without a region", "starting@here ready@home", nowhere, "", NoGateway},
		{"closing in the region, homes without a region", "closing@here ready@home", nowhere, "closing@here", OwnClosing},
		{"region lost, homes without a region", "ready@there", nowhere, "ready@there", LostRegion},
		{"none", "", free, "", NoGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, choice := Nearest(parseGateways(c.gateways), covering(c.gateways), "here", c.homes, 9)
			if names := join(got); names != c.want || choice != c.choice {
				t.Errorf("%q by %v, want %q by %v", names, choice, c.want, c.choice)
			}
		})
	}
}

// TestNearestWithoutOwnGateways asks for a region that never had a gateway: its callers are served as those of a lost one.
func TestNearestWithoutOwnGateways(t *testing.T) {
	all := parseGateways("ready@here ready@home ready@there")
	differ := Homes{Known: true, Restricted: true, Shared: []string{"here"}, Some: []string{"here", "home"}}
	disjoint := Homes{Known: true, Restricted: true, Some: []string{"far", "home"}}
	for _, c := range []struct {
		name     string
		complete bool
		homes    Homes
		want     string
		choice   Choice
	}{
		{"a shared home", true, differ, "ready@here", HomeRegion},
		{"homes of some routes", true, disjoint, "ready@home", LostRegion},
		{"homes of some routes, the list incomplete", false, disjoint, "", NoGateway},
		{"no homes", true, Homes{Known: true}, "ready@here ready@home ready@there", HomeRegion},
		{"no document known", true, Homes{}, "", NoGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, choice := Nearest(all, Coverage{}.With(all, c.complete), "elsewhere", c.homes, 9)
			if names := join(got); names != c.want || choice != c.choice {
				t.Errorf("%q by %v, want %q by %v", names, choice, c.want, c.choice)
			}
		})
	}
}

// TestNearestBounded asks for fewer gateways than are of the chosen kind: no more are named, and no others.
func TestNearestBounded(t *testing.T) {
	free, differ := Homes{Known: true}, Homes{Known: true, Restricted: true, Some: []string{"home"}}
	for _, c := range []struct {
		gateways string
		homes    Homes
		want     string
		choice   Choice
	}{
		{"ready1@here ready2@here ready3@here ready@home", free, "ready1@here ready2@here", OwnRegion},
		{"lingering1@here lingering2@here lingering3@here", free, "lingering1@here lingering2@here", OwnLingering},
		{"starting@here ready1@home ready2@home ready3@home", free, "ready1@home ready2@home", HomeRegion},
		{"closing1@here closing2@here closing3@here", differ, "closing1@here closing2@here", OwnClosing},
		{"ready1@home ready2@home ready3@home ready@there", differ, "ready1@home ready2@home", LostRegion},
	} {
		got, choice := Nearest(parseGateways(c.gateways), covering(c.gateways), "here", c.homes, 2)
		if names := join(got); names != c.want || choice != c.choice {
			t.Errorf("%q by %v, want %q by %v", names, choice, c.want, c.choice)
		}
	}
}

// TestNearestBeforeListComplete guards against taking a region for lost whose gateways a directory that has just started
// does not know yet.
func TestNearestBeforeListComplete(t *testing.T) {
	differ := Homes{Known: true, Restricted: true, Shared: []string{"here"}, Some: []string{"here", "home"}}
	if got, choice := Nearest(parseGateways("ready@home"), Coverage{}, "here", differ, 9); len(got) > 0 || choice != NoGateway {
		t.Errorf("%q by %v", join(got), choice)
	}
	if got, choice := Nearest(parseGateways("ready@home"), Coverage{}, "here", Homes{Known: true}, 9); join(got) != "ready@home" || choice != HomeRegion {
		t.Errorf("%q by %v", join(got), choice)
	}
	if got, choice := Nearest(parseGateways("closing@here ready@home"), Coverage{}, "here", differ, 9); join(got) != "closing@here" || choice != OwnClosing {
		t.Errorf("%q by %v", join(got), choice)
	}
}

// TestNearestMixes draws gateways and homes at random: a caller whose region has a gateway is named another region only
// if every restricted route of the host allows it, the gateways named share a region's state, and none is named only if
// no gateway may be: a lost region is served if any gateway is ready, and one with a closing gateway is not lost.
func TestNearestMixes(t *testing.T) {
	regions := []string{"here", "home", "there", "far"}
	rapid.Check(t, func(t *rapid.T) {
		var all []Gateway
		for range rapid.IntRange(0, 8).Draw(t, "gateways") {
			state := rapid.SampledFrom([]string{"ready", "lingering", "closing", "starting"}).Draw(t, "state")
			all = append(all, gatewayInState(state, rapid.SampledFrom(regions).Draw(t, "region")))
		}
		homes := Homes{Known: rapid.Bool().Draw(t, "known"), Restricted: rapid.Bool().Draw(t, "restricted")}
		if homes.Restricted {
			homes.Some = rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID).Draw(t, "some")
			homes.Shared = homes.Some[:rapid.IntRange(0, len(homes.Some)).Draw(t, "shared")]
		}
		complete := rapid.Bool().Draw(t, "complete")
		got, choice := Nearest(all, Coverage{}.With(all, complete), "here", homes, 9)
		own, ownAccepting, ownClosing, allowed, anyReady := 0, false, false, false, false
		for _, g := range all {
			anyReady = anyReady || g.Ready
			if g.Region == "here" {
				own++
				ownClosing = ownClosing || g.Closing
				ownAccepting = ownAccepting || g.Ready || g.Lingering || g.Closing
			} else if g.Ready && homes.allow(g.Region) {
				allowed = true
			}
		}
		for _, g := range got {
			switch {
			case g.Region == "here":
			case !g.Ready:
				t.Fatalf("%s@%s named to a caller of another region", g.Name, g.Region)
			case !homes.allow(g.Region) && (own > 0 || !complete || !homes.Known):
				t.Fatalf("%s@%s named by %v, which is not a home of every route, although the caller's region has %d gateways", g.Name, g.Region, choice, own)
			}
		}
		if len(got) == 0 && (ownAccepting || allowed) {
			t.Fatalf("no gateway named of %v", all)
		}
		if len(got) == 0 && own == 0 && complete && homes.Known && anyReady {
			t.Fatalf("the callers of a lost region are named no gateway of %v", all)
		}
		if ownClosing && choice > OwnClosing {
			t.Fatalf("named by %v, although a gateway of the region is closing", choice)
		}
		if (len(got) == 0) != (choice == NoGateway) {
			t.Fatalf("%d gateways named by %v", len(got), choice)
		}
	})
}

func parseGateways(text string) []Gateway {
	var all []Gateway
	for _, field := range strings.Fields(text) {
		name, region, _ := strings.Cut(field, "@")
		all = append(all, gatewayInState(name, region))
	}
	return all
}

// covering returns the coverage of a complete list.
func covering(text string) Coverage { return Coverage{}.With(parseGateways(text), true) }

func join(gateways []Gateway) string {
	var names []string
	for _, g := range gateways {
		names = append(names, g.Name+"@"+g.Region)
	}
	return strings.Join(names, " ")
}

// TestStates lists gateways in each state, those of another region left out.
func TestStates(t *testing.T) {
	all := parseGateways("ready@here starting@here lingering@here closing@here ready@home")
	if got := strings.Join(States(all, "here"), " "); got != "ready:ready starting:absent lingering:lingering closing:closing" {
		t.Errorf("%q", got)
	}
	if got := strings.Join(RegionsOf(all), " "); got != "here home" {
		t.Errorf("%q", got)
	}
}

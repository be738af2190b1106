package residency_test

import (
	"fmt"
	"strings"
	"testing"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// BenchmarkCheckData measures one check at growing numbers of regions and teams.
func BenchmarkCheckData(b *testing.B) {
	for _, size := range []struct{ regions, teams int }{{3, 3}, {9, 60}, {21, 360}} {
		c := inventory.Contents{
			Classes:  []inventory.Class{{Name: "c", Patience: 1}},
			Models:   []inventory.Model{{Name: "m"}},
			Services: []inventory.Service{{Name: "s", Models: []string{"m"}}},
		}
		for i := range size.regions {
			name := fmt.Sprintf("r%d", i)
			c.Regions = append(c.Regions, inventory.Region{Name: name})
			c.Labels = append(c.Labels, inventory.Label{Name: "l" + name, AllowedRegions: []string{name, "r0"}})
		}
		for i := range size.teams {
			region := fmt.Sprintf("r%d", i%size.regions)
			c.Teams = append(c.Teams, inventory.Team{
				Name: fmt.Sprintf("t%d", i), HomeRegion: region, DefaultClass: "c", Labels: []string{"l" + region},
				CredentialDigest: strings.Repeat("0", 60) + fmt.Sprintf("%04x", i),
			})
		}
		inv, err := inventory.New(c)
		if err != nil {
			b.Fatal(err)
		}
		labels := []string{"lr1"}
		b.Run(fmt.Sprintf("regions=%d/teams=%d", size.regions, size.teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if residency.CheckData(inv, "t1", labels, "r1") != nil {
					b.Fatal("the region is refused")
				}
			}
		})
	}
}

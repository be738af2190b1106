package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusreel/ledger"
)

// domainsPeriod is how often the failure domains of the ledger's replicas are looked at.
const domainsPeriod = 500 * time.Millisecond

// domains is what the instance knows of the failure domains of its region; it is safe for concurrent use.
type domains struct {
	mu sync.Mutex
	// byName keeps the domain of an instance that is gone, since its replacement takes its place.
	byName map[string]string
	judged ledger.Placement
}

func newDomains() *domains { return &domains{byName: map[string]string{}} }

// fatal returns the domain whose loss stops the region's ledger, or "".
func (d *domains) fatal() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.judged.Fatal
}

// watchDomains judges the failure domains of the ledger's replicas until ctx ends.
func (n *Entry) watchDomains(ctx context.Context) {
	every(ctx, domainsPeriod, n.judgeDomains)
}

// judgeDomains logs how the ledger's replicas lie in the failure domains when that has changed.
func (n *Entry) judgeDomains() {
	live := n.state.live()
	d := n.domains
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byName[n.cfg.Self.Name] = n.cfg.Self.FailureDomain
	for _, e := range live {
		if e.Region == n.cfg.Self.Region {
			d.byName[e.Name] = e.FailureDomain
		}
	}
	slots := n.ledgerGroup.Slots()
	now := ledger.Place(slots, d.byName)
	before := d.judged
	d.judged = now
	switch {
	case now.Fatal == before.Fatal && slices.Equal(now.Better, before.Better):
	case now.Fatal == "":
		n.log.Info().Strs("replicas", slots).Msg("ledgerDomainsApart")
	default:
		n.log.Warn().Str("failureDomain", now.Fatal).Strs("replicas", slots).Strs("better", now.Better).Msg("ledgerInOneDomain")
	}
}

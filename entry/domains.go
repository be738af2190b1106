package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusreel/ledger"
)

// domainCheckPeriod is how often the placement of the ledger replicas in failure domains is checked.
const domainCheckPeriod = 500 * time.Millisecond

// domains holds the known failure domains of the region's instances; it is safe for concurrent use.
type domains struct {
	mu sync.Mutex
	// byName also holds the domains of instances that are gone, since a replacement is expected in the same domain.
	byName    map[string]string
	placement ledger.Placement
}

func newDomains() *domains { return &domains{byName: map[string]string{}} }

// fatalDomain returns the failure domain whose loss would stop the region's ledger, or "" if there is none.
func (d *domains) fatalDomain() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placement.FatalDomain
}

// watchDomains checks the placement of the ledger replicas periodically until ctx ends.
func (n *Entry) watchDomains(ctx context.Context) {
	every(ctx, domainCheckPeriod, n.checkDomains)
}

// checkDomains determines how the ledger replicas are placed in failure domains and logs a change.
func (n *Entry) checkDomains() {
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
	now := ledger.CheckPlacement(slots, d.byName)
	before := d.placement
	d.placement = now
	switch {
	case now.FatalDomain == before.FatalDomain && slices.Equal(now.Alternative, before.Alternative):
	case now.FatalDomain == "":
		n.log.Info().Strs("replicas", slots).Msg("ledger depends on no single failure domain")
	default:
		n.log.Warn().Str("failureDomain", now.FatalDomain).Strs("replicas", slots).Strs("better", now.Alternative).Msg("ledger depends on one failure domain")
	}
}

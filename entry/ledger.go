package entry

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"time"

	"arbutusreel/calls"
	"arbutusreel/journal"
	"arbutusreel/ledger"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// ledgerMargin is how much longer than the retention a record is kept, for clocks that differ.
const ledgerMargin = 10 * time.Minute

// ledgerLink asks the region's ledger replicas, and the own one without the network.
type ledgerLink struct {
	entry     *Entry
	addresses map[string]string
}

var _ calls.Link = (*ledgerLink)(nil)

// newLedgerLink returns a link to replicas given as name=address.
func newLedgerLink(n *Entry, replicas []string) *ledgerLink {
	l := &ledgerLink{entry: n, addresses: map[string]string{}}
	for _, replica := range replicas {
		name, address, _ := strings.Cut(replica, "=")
		l.addresses[name] = address
	}
	return l
}

// slots returns the names of the replicas in order.
func (l *ledgerLink) slots() []string {
	var slots []string
	for name := range l.addresses {
		slots = append(slots, name)
	}
	slices.Sort(slots)
	return slots
}

// Handle asks one replica.
func (l *ledgerLink) Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	if slot == l.entry.cfg.Self.Name {
		return l.entry.replica.Handle(m), nil
	}
	conn, err := l.entry.peers.conn(l.addresses[slot])
	if err != nil {
		return ledger.Reply{}, err
	}
	reply, err := wiregen.NewLedgerClient(conn).Handle(ctx, wire.EncodeLedgerRequest(l.entry.state.now(), m))
	if err != nil {
		return ledger.Reply{}, err
	}
	return wire.DecodeLedgerReply(l.entry.state.now(), reply), nil
}

// ledgerServer answers the other instances of the region.
type ledgerServer struct {
	wiregen.UnimplementedLedgerServer
	entry *Entry
}

// Handle answers a request to the own replica; an instance that is none refuses it as one of another replica set.
//
// A peer whose certificate names another region is refused, since outcomes hold bodies.
func (s *ledgerServer) Handle(ctx context.Context, m *wiregen.LedgerRequest) (*wiregen.LedgerReply, error) {
	if err := s.entry.checkRegion(ctx); err != nil {
		return nil, err
	}
	now := s.entry.state.now()
	if s.entry.replica == nil {
		refusal := ledger.Reply{Slot: s.entry.cfg.Self.Name, Refusal: ledger.RefusedGroup}
		return wire.EncodeLedgerReply(now, refusal), nil
	}
	reply := s.entry.replica.Handle(wire.DecodeLedgerRequest(now, m))
	return wire.EncodeLedgerReply(now, reply), nil
}

// openReplica opens the ledger replica if the instance is one; a data folder that cannot be read is returned as an error.
func (n *Entry) openReplica() error {
	if !slices.Contains(n.ledgerGroup.Slots(), n.cfg.Self.Name) {
		return nil
	}
	limits := ledger.Limits{Retention: n.cfg.LedgerRetention + ledgerMargin, MaxCalls: n.cfg.LedgerMaxCalls}
	replica := ledger.NewReplica(n.cfg.Self.Name, n.ledgerGroup.Name(), rand.Text(), limits)
	if n.cfg.DataFolder == "" {
		n.replica = calls.NewReplica(n.cfg.Self.Name, replica, nil, n.state.now, nil)
		return nil
	}
	folder, err := journal.OpenFolder(n.cfg.DataFolder)
	if err != nil {
		return err
	}
	log, contents, err := journal.Open(folder, rand.Text())
	if err != nil {
		return err
	}
	fail := func(err error) { n.log.Fatal().Err(err).Msg("ledgerJournalFailed") }
	n.replica = calls.NewReplica(n.cfg.Self.Name, replica, log, n.state.now, fail)
	n.log.Info().Int("records", len(contents.Records)).Int64("cutBytes", contents.Cut).Msg("ledgerOpened")
	return n.replica.Restore(contents.Records)
}

// keepLedger gives the own replica its part in the group until ctx ends.
func (n *Entry) keepLedger(ctx context.Context) {
	if n.replica == nil {
		return
	}
	calls.NewKeeper(n.replica, n.ledgerGroup, n.log).Run(ctx)
}

// ledgerEpoch returns the epoch of the own replica, or "" if it has none.
func (n *Entry) ledgerEpoch() string {
	if n.replica == nil {
		return ""
	}
	status := n.replica.Status(n.ledgerGroup.Name())
	if !status.Active {
		return ""
	}
	return status.Epoch
}

// epochToken returns the token of a region's ledger for callers, or "" if its epoch is not known.
func (n *Entry) epochToken(region string) string {
	epochs := map[string]int{}
	if region == n.cfg.Self.Region {
		epochs[n.ledgerEpoch()]++
	}
	for _, e := range n.state.live() {
		if e.Region == region && e.Name != n.cfg.Self.Name {
			epochs[e.LedgerEpoch]++
		}
	}
	delete(epochs, "")
	return ledger.Token{Epoch: mostOften(epochs), Issued: n.state.now()}.String()
}

// mostOften returns the text with the highest count, the first in order among equals.
func mostOften(counts map[string]int) string {
	best := ""
	for text, count := range counts {
		if best == "" || count > counts[best] || (count == counts[best] && text < best) {
			best = text
		}
	}
	return best
}

// withLedgerEpoch returns the advert with the epoch of the own replica.
func (n *Entry) withLedgerEpoch(e membership.Entry) membership.Entry {
	e.LedgerEpoch = n.ledgerEpoch()
	return e
}

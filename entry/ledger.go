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

// ledgerRetentionMargin is added to the retention of a record to allow for differing clocks.
const ledgerRetentionMargin = 10 * time.Minute

// ledgerClient sends requests to the region's ledger replicas, and calls the own replica directly.
type ledgerClient struct {
	entry     *Entry
	addresses map[string]string
}

var _ calls.Transport = (*ledgerClient)(nil)

// newLedgerClient returns a client of the replicas given as name=address.
func newLedgerClient(n *Entry, replicas []string) *ledgerClient {
	c := &ledgerClient{entry: n, addresses: map[string]string{}}
	for _, replica := range replicas {
		name, address, _ := strings.Cut(replica, "=")
		c.addresses[name] = address
	}
	return c
}

// slots returns the sorted names of the replicas.
func (c *ledgerClient) slots() []string {
	var slots []string
	for name := range c.addresses {
		slots = append(slots, name)
	}
	slices.Sort(slots)
	return slots
}

// Handle sends a request to one replica and returns its reply.
func (c *ledgerClient) Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	if slot == c.entry.cfg.Self.Name {
		return c.entry.replica.Handle(m), nil
	}
	conn, err := c.entry.peers.conn(c.addresses[slot])
	if err != nil {
		return ledger.Reply{}, err
	}
	reply, err := wiregen.NewLedgerClient(conn).Handle(ctx, wire.EncodeLedgerRequest(c.entry.state.now(), m))
	if err != nil {
		return ledger.Reply{}, err
	}
	return wire.DecodeLedgerReply(c.entry.state.now(), reply), nil
}

// ledgerServer serves ledger requests of the region's other instances.
type ledgerServer struct {
	wiregen.UnimplementedLedgerServer
	entry *Entry
}

// Handle serves a request with the own replica; an instance that isn't a replica refuses it as one of another group. A
// peer of another region is refused, since recorded outcomes contain bodies.
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

// openReplica opens the ledger replica if this instance is one. It returns an error if the data folder cannot be read.
func (n *Entry) openReplica() error {
	if !slices.Contains(n.ledgerGroup.Slots(), n.cfg.Self.Name) {
		return nil
	}
	limits := ledger.Limits{Retention: n.cfg.LedgerRetention + ledgerRetentionMargin, MaxCalls: n.cfg.LedgerMaxCalls}
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
	fail := func(err error) { n.log.Fatal().Err(err).Msg("ledger journal failed") }
	n.replica = calls.NewReplica(n.cfg.Self.Name, replica, log, n.state.now, fail)
	n.log.Info().Int("records", len(contents.Records)).Int64("cutBytes", contents.Truncated).Msg("ledger journal opened")
	return n.replica.Restore(contents.Records)
}

// runLedgerReplica keeps the own replica in sync with its group until ctx ends.
func (n *Entry) runLedgerReplica(ctx context.Context) {
	if n.replica == nil {
		return
	}
	calls.NewReconciler(n.replica, n.ledgerGroup, n.log).Run(ctx)
}

// ledgerEpoch returns the epoch of the own replica, or "" if there is no replica or it is not active.
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

// epochToken returns the token of a region's ledger for callers, with the epoch that most entries of the region
// advertise, or "" if no epoch is known.
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
	return ledger.Token{Epoch: mostCommon(epochs), Issued: n.state.now()}.String()
}

// mostCommon returns the key with the highest count, or the first in lexical order among equals.
func mostCommon(counts map[string]int) string {
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

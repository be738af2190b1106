package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/consensus"
	"arbutusreel/distribution"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// voterTimeout limits the wait for the reply of another voter.
const voterTimeout = 700 * time.Millisecond

// Instances returns the instances that follow this voter, directly or through relays.
func (c *Control) Instances(context.Context, *wiregen.InstancesRequest) (*wiregen.InstancesReply, error) {
	now := c.now()
	reply := &wiregen.InstancesReply{Entries: wire.EncodeEntries(c.followers.live(now))}
	for _, i := range c.hub.Instances() {
		reply.Instances = append(reply.Instances, &wiregen.ReportedInstance{
			Name: i.Name, Region: i.Region, Revision: i.Revision, AgeMillis: now.Sub(i.At).Milliseconds(), LedgerFatalDomain: i.LedgerFatalDomain,
		})
	}
	return reply, nil
}

// quorumView is the combined knowledge of the voters about instances and entries.
type quorumView struct {
	instances []distribution.Instance
	// entries holds the entries that follow a voter directly, by name.
	entries map[string]membership.Entry
}

// queryVoters returns the newest report of each instance that any voter has, and the entries that follow any voter.
func (c *Control) queryVoters(ctx context.Context) quorumView {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	status := c.store.Status()
	replies := make([]*wiregen.InstancesReply, len(status.Members))
	var wg sync.WaitGroup
	for i, member := range status.Members {
		wg.Go(func() { replies[i] = c.queryVoter(ctx, member, status.Self) })
	}
	wg.Wait()
	newest := distribution.NewReports()
	entries := map[string]membership.Entry{}
	for _, reply := range replies {
		for _, i := range reply.GetInstances() {
			at := c.now().Add(-time.Duration(i.GetAgeMillis()) * time.Millisecond)
			newest.Update(distribution.Instance{
				Name: i.GetName(), Region: i.GetRegion(), Revision: i.GetRevision(), LedgerFatalDomain: i.GetLedgerFatalDomain(), At: at,
			})
		}
		for _, e := range wire.DecodeEntries(reply.GetEntries()) {
			entries[e.Name] = e
		}
	}
	return quorumView{instances: newest.All(time.Time{}), entries: entries}
}

// queryVoter returns the reply of one voter, or nil if the voter does not answer.
func (c *Control) queryVoter(ctx context.Context, member consensus.Member, self consensus.ID) *wiregen.InstancesReply {
	if member.ID == self {
		reply, _ := c.Instances(ctx, nil)
		return reply
	}
	conn, err := grpc.NewClient("passthrough:///"+member.Address, grpc.WithTransportCredentials(c.cfg.Keys.Client(member.ID.Name)))
	if err != nil {
		return nil
	}
	defer conn.Close()
	reply, err := wiregen.NewConsensusClient(conn).Instances(ctx, &wiregen.InstancesRequest{})
	if err != nil {
		c.log.Warn().Str("voter", member.ID.Name).Err(err).Msg("voter did not report its instances")
	}
	return reply
}

// lag returns the time since a higher revision than the instance's was accepted, or zero.
func (c *Control) lag(i distribution.Instance) time.Duration {
	at, ok := c.store.AcceptedAt(i.Revision + 1)
	if !ok {
		return 0
	}
	return c.now().Sub(at)
}

// identify returns the name and disk identity of the control daemon at an address.
func (c *Control) identify(ctx context.Context, name, address string) (consensus.ID, error) {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(c.cfg.Keys.Client(name)))
	if err != nil {
		return consensus.ID{}, err
	}
	defer conn.Close()
	m, err := wiregen.NewConsensusClient(conn).Identify(ctx, &wiregen.IdentifyRequest{})
	return decodeID(m), err
}

package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"arbutusreel/consensus"
	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

// voterTimeout bounds the wait for another voter's answer.
const voterTimeout = time.Second

// Instances returns the instances that follow this voter, directly or through relays.
func (c *Control) Instances(context.Context, *wiregen.InstancesRequest) (*wiregen.InstancesReply, error) {
	reply := &wiregen.InstancesReply{}
	now := c.now()
	for _, i := range c.hub.Instances() {
		reply.Instances = append(reply.Instances, &wiregen.ReportedInstance{
			Name: i.Name, Region: i.Region, Revision: i.Revision, AgeMillis: now.Sub(i.At).Milliseconds(),
		})
	}
	return reply, nil
}

// instances returns the newest report of each instance that any voter has.
func (c *Control) instances(ctx context.Context) []distribution.Instance {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	newest := distribution.NewReports()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range c.hub.Instances() {
		newest.Take(i)
	}
	status := c.store.Status()
	for _, member := range status.Members {
		if member.ID == status.Self {
			continue
		}
		wg.Go(func() {
			reported := c.ask(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			for _, i := range reported {
				newest.Take(i)
			}
		})
	}
	wg.Wait()
	return newest.All(time.Time{})
}

// ask returns the instances that follow another voter; one that does not answer has none.
func (c *Control) ask(ctx context.Context, member consensus.Member) []distribution.Instance {
	conn, err := grpc.NewClient("passthrough:///"+member.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil
	}
	defer conn.Close()
	reply, err := wiregen.NewConsensusClient(conn).Instances(ctx, &wiregen.InstancesRequest{})
	if err != nil {
		c.log.Warn().Str("voter", member.ID.Name).Err(err).Msg("instancesUnknown")
	}
	var instances []distribution.Instance
	for _, i := range reply.GetInstances() {
		at := c.now().Add(-time.Duration(i.GetAgeMillis()) * time.Millisecond)
		instances = append(instances, distribution.Instance{Name: i.GetName(), Region: i.GetRegion(), Revision: i.GetRevision(), At: at})
	}
	return instances
}

// lag returns the time since a higher revision than the instance's was accepted, or zero.
func (c *Control) lag(i distribution.Instance) time.Duration {
	at, ok := c.store.AcceptedAt(i.Revision + 1)
	if !ok {
		return 0
	}
	return c.now().Sub(at)
}

// identify returns the name and disk of the control daemon at an address.
func identify(ctx context.Context, address string) (consensus.ID, error) {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return consensus.ID{}, err
	}
	defer conn.Close()
	m, err := wiregen.NewConsensusClient(conn).Identify(ctx, &wiregen.IdentifyRequest{})
	return decodeID(m), err
}

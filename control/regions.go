package control

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// endpointReplies is the number of entries of each region that are asked for its endpoints.
const endpointReplies = 2

// regionTimeout bounds one question to an entry.
const regionTimeout = time.Second

// askRegion returns what one entry knows of its region.
func (c *Control) askRegion(ctx context.Context, e membership.Entry, m *wiregen.RegionRequest) (*wiregen.RegionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+e.PeerAddress, grpc.WithTransportCredentials(c.cfg.Keys.Client(e.Name)))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return wiregen.NewPlacementClient(conn).Region(ctx, m)
}

// askRegions asks all of the entries at once, the first ones of each region also for its endpoints; those that give no answer are left out.
func (c *Control) askRegions(ctx context.Context, entries []membership.Entry) []*wiregen.RegionReply {
	asked := map[string]int{}
	replies := make([]*wiregen.RegionReply, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		m := &wiregen.RegionRequest{Endpoints: !e.Leaving && asked[e.Region] < endpointReplies}
		asked[e.Region]++
		wg.Go(func() {
			reply, err := c.askRegion(ctx, e, m)
			if err != nil {
				c.log.Debug().Str("entry", e.Name).Err(err).Msg("entryUnreachable")
				return
			}
			replies[i] = reply
		})
	}
	wg.Wait()
	return slices.DeleteFunc(replies, func(r *wiregen.RegionReply) bool { return r == nil })
}

// entries returns every entry that the voters' direct followers know of, in the order of their names.
func (c *Control) entries(ctx context.Context) []membership.Entry {
	known := c.askVoters(ctx).entries
	direct := slices.Collect(maps.Values(known))
	for _, reply := range c.askRegions(ctx, direct) {
		for _, e := range wire.DecodeEntries(reply.GetEntries()) {
			known[e.Name] = e
		}
	}
	all := make([]membership.Entry, 0, len(known))
	for _, e := range known {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b membership.Entry) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// listEntries answers the entries of all regions.
func (c *Control) listEntries(r *http.Request) (proto.Message, error) {
	return &wiregen.EntriesReply{Entries: wire.EncodeEntries(c.entries(r.Context()))}, nil
}

// place runs the placement duty until ctx ends.
func (c *Control) place(ctx context.Context) {
	inForce := func() (*inventory.Inventory, int64) {
		current := c.store.Current()
		return current.Inventory, current.Revision
	}
	ask := func(ctx context.Context) []*wiregen.RegionReply { return c.askRegions(ctx, c.entries(ctx)) }
	newPlacer(c.cfg, c.store, inForce, ask, c.log, c.now).run(ctx, c.cfg.PlacementPeriod)
}

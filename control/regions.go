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

// endpointQueriesPerRegion is the number of entries in each region that are queried for its endpoints.
const endpointQueriesPerRegion = 2

// regionTimeout limits the time of one query to an entry.
const regionTimeout = time.Second

// queryRegion returns what one entry knows about its region.
func (c *Control) queryRegion(ctx context.Context, e membership.Entry, m *wiregen.RegionRequest) (*wiregen.RegionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+e.PeerAddress, grpc.WithTransportCredentials(c.cfg.Keys.Client(e.Name)))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return wiregen.NewPlacementClient(conn).Region(ctx, m)
}

// queryRegions queries all entries concurrently, and the first entries of each region also for its endpoints. Entries
// without a reply are left out.
func (c *Control) queryRegions(ctx context.Context, entries []membership.Entry) []*wiregen.RegionReply {
	queried := map[string]int{}
	replies := make([]*wiregen.RegionReply, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		m := &wiregen.RegionRequest{Endpoints: !e.Leaving && queried[e.Region] < endpointQueriesPerRegion}
		queried[e.Region]++
		wg.Go(func() {
			reply, err := c.queryRegion(ctx, e, m)
			if err != nil {
				c.log.Debug().Str("entry", e.Name).Err(err).Msg("entry unreachable")
				return
			}
			replies[i] = reply
		})
	}
	wg.Wait()
	return slices.DeleteFunc(replies, func(r *wiregen.RegionReply) bool { return r == nil })
}

// entries returns all entries known to the voters' direct followers, sorted by name.
func (c *Control) entries(ctx context.Context) []membership.Entry {
	byName := c.queryVoters(ctx).entries
	directEntries := slices.Collect(maps.Values(byName))
	for _, reply := range c.queryRegions(ctx, directEntries) {
		for _, e := range wire.DecodeEntries(reply.GetEntries()) {
			byName[e.Name] = e
		}
	}
	all := make([]membership.Entry, 0, len(byName))
	for _, e := range byName {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b membership.Entry) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// listEntries returns the entries of all regions.
func (c *Control) listEntries(r *http.Request) (proto.Message, error) {
	return &wiregen.EntriesReply{Entries: wire.EncodeEntries(c.entries(r.Context()))}, nil
}

// runPlacement runs the placer until ctx ends.
func (c *Control) runPlacement(ctx context.Context) {
	inForce := func() (*inventory.Inventory, int64) {
		current := c.store.Current()
		return current.Inventory, current.Revision
	}
	query := func(ctx context.Context) []*wiregen.RegionReply { return c.queryRegions(ctx, c.entries(ctx)) }
	newPlacer(c.cfg, c.store, inForce, query, c.log, c.now).run(ctx, c.cfg.PlacementPeriod)
}

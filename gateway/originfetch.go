package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

const (
	// originFetchTries and originFetchTimeout bound the fetching of records at the start.
	originFetchTries   = 3
	originFetchTimeout = 2 * time.Second
	// maxOriginChunk bounds one message with records, in bytes.
	maxOriginChunk = 64 << 10
)

// fetchOrigins gets the records of another gateway after the start, as soon as the view lists one. If that takes longer
// than callers take up streams, nothing is left to fetch.
func (g *Gateway) fetchOrigins(ctx context.Context) {
	var tried []string
	for len(tried) < originFetchTries && time.Since(g.started) < originRetention {
		from, ok := chooseOriginSource(g.self(), g.born, g.view.Load(), tried)
		if !ok {
			if !clock.Sleep(ctx, pollPeriod) {
				return
			}
			continue
		}
		tried = append(tried, from.Name)
		n, err := g.fetchOriginsFrom(ctx, from.LoadAddress)
		if ctx.Err() != nil {
			return
		}
		g.log.Info().Str("gateway", from.Name).Int("records", n).Err(err).Msg("origins fetched")
		if err == nil {
			return
		}
	}
}

// chooseOriginSource returns the ready gateway to fetch records from, or false if there is none besides the tried ones.
// One that was running before the records of this moment began goes before one that may lack records itself, and one of
// the own region before one of another.
func chooseOriginSource(self fleet.Gateway, born int64, v *view, tried []string) (fleet.Gateway, bool) {
	candidates := slices.DeleteFunc(slices.Clone(v.gateways), func(other fleet.Gateway) bool {
		return !other.Ready || other.Name == self.Name || slices.Contains(tried, other.Name)
	})
	class := func(other fleet.Gateway) int {
		c := 0
		if born-other.Born < originRetention.Milliseconds() {
			c += 2
		}
		if other.Region != self.Region {
			c++
		}
		return c
	}
	if len(candidates) == 0 {
		return fleet.Gateway{}, false
	}
	best := class(slices.MinFunc(candidates, func(a, b fleet.Gateway) int { return cmp.Compare(class(a), class(b)) }))
	return fleet.Partner(self.Name, slices.DeleteFunc(candidates, func(other fleet.Gateway) bool { return class(other) != best }))
}

// fetchOriginsFrom adds the records of a gateway, and returns their number. Those that arrived before an error are kept.
func (g *Gateway) fetchOriginsFrom(ctx context.Context, address string) (n int, err error) {
	ctx, cancel := context.WithTimeout(ctx, originFetchTimeout)
	defer cancel()
	conn, err := g.cfg.Keys.Dial(address, maxUpdateBytes)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	stream, err := wiregen.NewOutstandingClient(conn).FetchOrigins(ctx, &wiregen.OriginsRequest{})
	if err != nil {
		return 0, err
	}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		batches := decodeOrigins(m.GetBatches())
		n += origin.Size(batches)
		g.origins.add(time.Now(), batches...)
	}
}

// FetchOrigins sends another gateway all records of this one.
func (g *Gateway) FetchOrigins(_ *wiregen.OriginsRequest, stream grpc.ServerStreamingServer[wiregen.OriginBatches]) error {
	for _, batches := range origin.Split(g.origins.all(time.Now()), maxOriginChunk) {
		if err := stream.Send(&wiregen.OriginBatches{Batches: encodeOrigins(batches)}); err != nil {
			return err
		}
	}
	return nil
}

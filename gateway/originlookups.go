package gateway

import (
	"context"
	"time"

	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

const (
	// originLookupTimeout bounds a lookup at other gateways: two round trips between regions.
	originLookupTimeout = 400 * time.Millisecond
	// maxOriginLookups bounds the lookups in progress; beyond it, what this gateway does not know is not found.
	maxOriginLookups = 256
)

// Results of lookups in the metrics.
const (
	lookupFound  = "found"
	lookupMissed = "missed"
	lookupBusy   = "busy"
)

// findOrigin returns the origin of the stream that the answer to a request began. If this gateway has no record of it,
// it asks some others at once.
func (g *Gateway) findOrigin(ctx context.Context, requestID string) (origin.Origin, bool) {
	key := origin.NewKey(requestID)
	if began, ok := g.origins.find(time.Now(), key); ok {
		return began, true
	}
	select {
	case g.originLookups <- struct{}{}:
		defer func() { <-g.originLookups }()
	default:
		g.origins.lookups.Add(lookupBusy, 1)
		return origin.Origin{}, false
	}
	began, ok := askOrigin(ctx, key, g.originPeers.clients())
	if !ok {
		g.origins.lookups.Add(lookupMissed, 1)
		return origin.Origin{}, false
	}
	g.origins.lookups.Add(lookupFound, 1)
	g.origins.add(time.Now(), origin.Batch{Origin: began, Keys: []origin.Key{key}})
	return began, true
}

// askOrigin asks all clients at once and returns the first origin that one of them knows.
func askOrigin(ctx context.Context, key origin.Key, clients []wiregen.OutstandingClient) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	answers := make(chan *wiregen.OriginAnswer, len(clients))
	for _, client := range clients {
		go func() {
			a, err := client.FindOrigin(ctx, &wiregen.OriginQuery{Key: uint64(key)})
			if err != nil {
				a = nil
			}
			answers <- a
		}()
	}
	for range clients {
		if a := <-answers; a.GetKnown() {
			return origin.Origin{Service: a.GetService(), Software: a.GetSoftware()}, true
		}
	}
	return origin.Origin{}, false
}

// FindOrigin answers another gateway from the records of this one alone.
func (g *Gateway) FindOrigin(_ context.Context, m *wiregen.OriginQuery) (*wiregen.OriginAnswer, error) {
	began, ok := g.origins.find(time.Now(), origin.Key(m.GetKey()))
	return &wiregen.OriginAnswer{Known: ok, Service: began.Service, Software: began.Software}, nil
}

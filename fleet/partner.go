package fleet

import "github.com/cespare/xxhash/v2"

// Partner returns the gateway that the gateway with the given name prefers among others, by rendezvous hashing: it
// changes only when the partner leaves or a gateway with a higher weight joins. Different gateways are spread over all
// partners. It returns false if there are no others.
func Partner(name string, others []Gateway) (partner Gateway, ok bool) {
	highest := uint64(0)
	for _, g := range others {
		if weight := xxhash.Sum64String(name + "\x00" + g.Name); !ok || weight > highest {
			partner, highest, ok = g, weight, true
		}
	}
	return partner, ok
}

package intake

const (
	// reservedDescriptors are kept for files and for connections that a process opens without a caller: to its peers and to
	// control.
	reservedDescriptors = 64
	// connectionsPerRequest are the descriptors that one request may need: the caller's connection and that to an endpoint.
	connectionsPerRequest = 2
	// headMemoryShare is the part of a process's memory that heads may take.
	headMemoryShare = 16
	// peerDescriptorShare is the part of the descriptors that connections from peers may take, and peerMemoryShare that of the
	// memory that they may take before their first message is whole, which can hold a whole state.
	peerDescriptorShare = 8
	peerMemoryShare     = 4
	minConnections      = 16
	// memoryPerConnection is the memory that a process needs for each place: 60 KB for a caller that does not read and the
	// connection to its endpoint, as much for bodies and buffered answers, and the rest for garbage.
	memoryPerConnection = 160 << 10
	minHeadBytes        = 2 << 20
	// bodyMemoryShare is the part of the memory that bodies may take where no handler bounds them.
	bodyMemoryShare = 4
	minBodyBytes    = 8 << 20
)

// Limits bounds what a process holds for its clients. Zero values set no bound.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeadBytes bounds the memory of large heads, in bytes.
	HeadBytes int64
	// BodyBytes bounds the memory of bodies, in bytes.
	BodyBytes int64
	// ServingYield is set if connections with a request in progress also yield to the heads of others, after all others.
	ServingYield bool
}

// LimitsFor returns the limits on callers of a process that may use a number of descriptors and bytes of memory.
func LimitsFor(descriptors int, memoryBytes int64) Limits {
	connections := (descriptors - reservedDescriptors - descriptors/peerDescriptorShare) / connectionsPerRequest
	if memoryBytes > 0 {
		connections = min(connections, int(memoryBytes/memoryPerConnection))
	}
	return Limits{
		Connections: max(connections, minConnections),
		HeadBytes:   max(memoryBytes/headMemoryShare, minHeadBytes),
		BodyBytes:   max(memoryBytes/bodyMemoryShare, minBodyBytes),
	}
}

// PeerLimitsFor returns the limits on the peers of such a process.
func PeerLimitsFor(descriptors int, memoryBytes int64) Limits {
	return Limits{
		Connections:  max(descriptors/peerDescriptorShare, minConnections),
		HeadBytes:    max(memoryBytes/peerMemoryShare, minHeadBytes),
		ServingYield: true,
	}
}

package intake

const (
	// reservedDescriptors are kept for files and for connections that a process opens without a caller: to its peers and to
	// control.
	reservedDescriptors = 64
	// connectionsPerRequest are the descriptors that one request may need: the caller's connection and that to an endpoint.
	connectionsPerRequest = 2
	minConnections        = 16
)

// Limits bounds what a process holds for its clients. Zero values set no bound.
type Limits struct {
	// Connections is the greatest number of open connections.
	Connections int
}

// LimitsFor returns the limits of a process that may use a number of descriptors.
func LimitsFor(descriptors int) Limits {
	return Limits{
		Connections: max((descriptors-reservedDescriptors)/connectionsPerRequest, minConnections),
	}
}

package control

import (
	"time"

	"arbutusreel/acceptor"
	"arbutusreel/decision"
	"arbutusreel/keys"
)

// Config holds the start-up configuration of a control daemon.
type Config struct {
	Name            string
	Region          string
	FailureDomain   string
	PeerAddress     string
	OperatorAddress string
	Voters          []string
	Join            bool
	// Seeds are the peer addresses of control daemons that this one asks for membership whenever it has no leader.
	// With no seeds, only operators change the membership.
	Seeds []string
	// ToleratedDisks is the number of disks that may be lost at once. The leader removes no unresponsive voter if
	// fewer than 2*ToleratedDisks+1 voters would remain.
	ToleratedDisks int
	// CatchUpTime is the time after its start within which a daemon that joins takes the place of a failed one; zero means
	// 8 s.
	CatchUpTime         time.Duration
	DataFolder          string
	OperatorTokenDigest string
	MaxInventoryBytes   int64
	Heartbeat           time.Duration
	ElectionTimeout     time.Duration
	SnapshotEntries     int
	PlacementPeriod     time.Duration
	Keys                *keys.Source
	Decisions           *decision.Store
	// Connections and PeerConnections bound the connections of operators and of peers; nil sets no bound.
	Connections, PeerConnections *acceptor.Acceptor
}

package control

import (
	"time"

	"arbutusreel/decision"
	"arbutusreel/keys"
)

// Config is what a control daemon needs to know at its start.
type Config struct {
	Name            string
	Region          string
	FailureDomain   string
	PeerAddress     string
	OperatorAddress string
	Voters          []string
	Join            bool
	// Seeds are peer addresses of control daemons through which this one asks to become a member whenever it hears no
	// leader; empty leaves the members to the operators.
	Seeds []string
	// ToleratedDisks is the number of disks that may be lost at once; members are never removed by the leader below
	// twice as many and one.
	ToleratedDisks      int
	DataFolder          string
	OperatorTokenDigest string
	MaxInventoryBytes   int64
	Heartbeat           time.Duration
	ElectionTimeout     time.Duration
	SnapshotEntries     int
	PlacementPeriod     time.Duration
	Keys                *keys.Source
	Decisions           *decision.Store
}

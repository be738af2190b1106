package control

import (
	"time"

	"arbutusreel/decision"
	"arbutusreel/keys"
)

// Config is what a control daemon needs to know at its start.
type Config struct {
	Name                string
	Region              string
	FailureDomain       string
	PeerAddress         string
	OperatorAddress     string
	Voters              []string
	Join                bool
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

package entry

import (
	"time"

	"arbutusreel/decision"
	"arbutusreel/keys"
	"arbutusreel/membership"
	"arbutusreel/metrics"
)

// Config is what an entry needs to know at its start.
type Config struct {
	Self     membership.Entry
	Controls []string
	// ControlNames holds the names of the control voters by address.
	ControlNames     map[string]string
	Peers            []string
	DirectoryAddress string
	MaxBodyBytes     int64
	// RequestBytes is the memory for requests in progress.
	RequestBytes      int64
	MaxHeaderBytes    int
	AnnouncementLease time.Duration
	DrainNotice       time.Duration
	DrainTimeout      time.Duration
	ReaderTimeout     time.Duration
	BodyTimeout       time.Duration
	// Metrics counts what the entry does; nil counts for nobody.
	Metrics             *metrics.Set
	RoutingPolicy       string
	Seed                uint64
	Keys                *keys.Source
	Decisions           *decision.Store
	OperatorTokenDigest string
	// LedgerReplicas are the region's ledger replicas, as name=address.
	LedgerReplicas []string
	// DataFolder keeps the own ledger replica; empty keeps it in memory.
	DataFolder      string
	LedgerRetention time.Duration
	LedgerMaxCalls  int
}

// Periods and limits of the daemon's duties.
const (
	exchangePeriod = 500 * time.Millisecond
	publishPeriod  = time.Second
	expirePeriod   = 100 * time.Millisecond
	followBackoff  = 300 * time.Millisecond
	reportPeriod   = time.Second
	entryTTL       = 3 * time.Second
	summaryTTL     = 10 * time.Second
	entriesTTL     = 2 * time.Second
	headerTimeout  = 10 * time.Second
	// warmUp is how long an entry that knows no endpoint waits before callers may use it.
	warmUp = time.Second
	// callerIdleTimeout closes a caller's connection that has no request.
	callerIdleTimeout = 2 * time.Minute
	maxAnnouncement   = 1 << 20
)

package entry

import (
	"time"

	"arbutusreel/acceptor"
	"arbutusreel/decision"
	"arbutusreel/keys"
	"arbutusreel/membership"
	"arbutusreel/metrics"
)

// Config holds the settings of an entry.
type Config struct {
	Self     membership.Entry
	Controls []string
	// ControlNames holds the names of the control voters by address.
	ControlNames     map[string]string
	Peers            []string
	DirectoryAddress string
	MaxBodyBytes     int64
	// RequestBytes is the memory budget of the requests in progress, in bytes.
	RequestBytes      int64
	MaxHeaderBytes    int
	AnnouncementLease time.Duration
	DrainNotice       time.Duration
	DrainTimeout      time.Duration
	ReaderTimeout     time.Duration
	BodyTimeout       time.Duration
	// Metrics records the entry's metrics; New creates a set of its own if it is nil.
	Metrics             *metrics.Set
	RoutingPolicy       string
	Seed                uint64
	Keys                *keys.Source
	Decisions           *decision.Store
	OperatorTokenDigest string
	// LedgerReplicas lists the region's ledger replicas as name=address.
	LedgerReplicas []string
	// DataFolder stores the journal of the own ledger replica; if it is empty, the replica is kept in memory.
	DataFolder      string
	LedgerRetention time.Duration
	LedgerMaxCalls  int
	// Connections and PeerConnections bound the connections of callers and endpoints, and those of peers; nil sets no bound.
	Connections, PeerConnections *acceptor.Acceptor
}

// Periods and limits of the daemon's tasks.
const (
	exchangePeriod = 500 * time.Millisecond
	publishPeriod  = time.Second
	expirePeriod   = 100 * time.Millisecond
	followBackoff  = 300 * time.Millisecond
	reportPeriod   = time.Second
	entryTTL       = 3 * time.Second
	summaryTTL     = 10 * time.Second
	entryListTTL   = 2 * time.Second
	headerTimeout  = 10 * time.Second
	// warmUp is how long an entry that knows no endpoint waits after its start before it is ready for callers.
	warmUp = time.Second
	// callerIdleTimeout is how long a caller's connection may be idle before it is closed.
	callerIdleTimeout = 2 * time.Minute
	maxAnnouncement   = 1 << 20
)

package entry

import (
	"time"

	"arbutusreel/membership"
)

// Config is what an entry needs to know at its start.
type Config struct {
	Self              membership.Entry
	Controls          []string
	Peers             []string
	DirectoryAddress  string
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	AnnouncementLease time.Duration
	DrainNotice       time.Duration
	DrainTimeout      time.Duration
	ReaderTimeout     time.Duration
	// LedgerReplicas are the region's ledger replicas, as name=address.
	LedgerReplicas []string
	// DataFolder keeps the own ledger replica; empty keeps it in memory.
	DataFolder          string
	LedgerRetention     time.Duration
	LedgerMaxCalls      int
	OperatorTokenDigest string
}

// Periods and limits of the daemon's duties.
const (
	exchangePeriod  = 500 * time.Millisecond
	publishPeriod   = time.Second
	expirePeriod    = 100 * time.Millisecond
	followBackoff   = 300 * time.Millisecond
	reportPeriod    = time.Second
	entryTTL        = 3 * time.Second
	summaryTTL      = 10 * time.Second
	entriesTTL      = 2 * time.Second
	headerTimeout   = 10 * time.Second
	maxAnnouncement = 1 << 20
)

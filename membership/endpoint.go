package membership

import "time"

// Load is the load that an endpoint reported.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int
	// TokensPerSecond is the total generation rate of all slots when all are busy.
	TokensPerSecond        float64
	PrefillTokensPerSecond float64
	CacheUse               float64
	// At is the time to which the report applies: its arrival less its age.
	At time.Time
}

// CacheEvent records that a prefix was stored in or dropped from an endpoint's cache.
type CacheEvent struct {
	PrefixHash uint64
	Dropped    bool
	Tokens     int
}

// Endpoint is the state of one endpoint as last announced.
type Endpoint struct {
	Name          string
	Incarnation   int64
	Sequence      int64
	Address       string
	Region        string
	FailureDomain string
	Service       string
	Models        []string
	Slots         int
	Leaving       bool
	Load          Load
	CacheEvents   []CacheEvent
	CacheSequence int64
	// CacheTokens is the number of tokens that the cache holds for running requests; zero means unknown.
	CacheTokens int
	// Versions holds MODEL@VERSION of each model whose version the endpoint knows.
	Versions []string
	// Loading holds the names that the endpoint is loading, and does not serve yet, because of the order with OrderTerm
	// and OrderSequence.
	Loading       []string
	OrderTerm     int64
	OrderSequence int64
	// SoftwareVersion is the version of the endpoint's software, or empty if it announces none. Versions have no order.
	SoftwareVersion string
}

// newer reports whether e replaces the known state old.
func (e Endpoint) newer(old Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

package membership

import "time"

// Load is what an endpoint reported of its work.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens int
	// TokensPerSecond is what all slots together generate when all are busy.
	TokensPerSecond        float64
	PrefillTokensPerSecond float64
	CacheUse               float64
	// At is when the report was true: its arrival less its age.
	At time.Time
}

// CacheEvent says that a prefix was stored in or dropped from an endpoint's cache.
type CacheEvent struct {
	PrefixHash uint64
	Dropped    bool
	Tokens     int
}

// Endpoint is one endpoint as it announced itself.
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
	// CacheTokens is the number of tokens that the cache holds for running requests; zero is not known.
	CacheTokens int
	// Versions holds MODEL@VERSION of each model whose version the endpoint knows.
	Versions []string
	// Loading holds the names that the endpoint loads by the order of OrderTerm and OrderSequence and does not serve yet.
	Loading       []string
	OrderTerm     int64
	OrderSequence int64
}

// newer reports whether e replaces what is known as old.
func (e Endpoint) newer(old Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

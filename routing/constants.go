package routing

import "time"

// Constants that discount old load reports and old knowledge of cached prefixes.
const (
	// reportHalfLife is the age at which a report has a weight of one half against the mean of the candidates.
	reportHalfLife = 4 * time.Second
	// maxReportAge bounds the age of a report.
	maxReportAge = time.Hour
	// cacheHalfLife is the age at which a prefix is still cached with probability one half.
	cacheHalfLife = 120 * time.Second
	// lostEventsHalfLife is the number of lost cache events after which a prefix recorded before is still cached with
	// probability one half.
	lostEventsHalfLife = 256
	// maxLostEvents bounds the lost events counted for one sequence gap.
	maxLostEvents = 1 << 16
	// dispatchedPrefixProbability is the probability that an endpoint has cached the prompt of a request sent to it.
	dispatchedPrefixProbability = 0.8
)

// Bounds of the slow start window, in prompt tokens: its initial size, and the size at which slow start ends.
const (
	coldPrefillTokens = 2048
	warmPrefillTokens = 65536
)

// Bounds on the number of candidates scored.
const (
	maxSamples       = 6
	maxScoredHolders = 4
)

// minFreeSlots is the part of a slot that must be free for a request to start; it is below one because the estimate of
// outstanding requests is not a whole number.
const minFreeSlots = 0.5

// maxRequestsPerSlot bounds the requests per slot at which an instance below its fair share may add one more.
const maxRequestsPerSlot = 1.5

// Bounds of the prefix index.
const (
	maxHoldersPerPrefix = 4
	// prefixesPerGeneration is the number of prefixes after which the index starts a new generation and discards the
	// previous one.
	prefixesPerGeneration = 1 << 15
	// scoredPrefixLengths is the number of prefix lengths whose holders are scored, from the longest cached one
	// downwards.
	scoredPrefixLengths = 4
)

// BlockTokens is the number of prompt tokens in a prefix block.
const BlockTokens = 64

// decodeWeight is the weight of the decode time relative to the time to the first token.
const decodeWeight = 0.1

// contentionSlowdown is the relative slowdown of decoding on an endpoint whose slots are all busy, compared with an
// idle one.
const contentionSlowdown = 0.2

// loadUncertainty is the spread of the estimated number of requests at an endpoint, in requests.
const loadUncertainty = 0.7

// smoothingFactor is the weight of a new value in the moving averages of service times and reservations.
const smoothingFactor = 0.1

// Limits of forwarding to other regions.
const (
	// linkShare is the share of a link's bandwidth that one instance may use.
	linkShare = 0.1
	// linkBurst is the size of the token bucket, as the time that it takes to refill.
	linkBurst = 500 * time.Millisecond
	// forwardRoundTrips is the number of round trips for which a forwarded request waits.
	forwardRoundTrips = 2
	// reservedSlotShare is the share of a region's slots that is kept free of requests from other regions.
	reservedSlotShare = 0.1
)

// bytesPerGigabyte converts a price per gigabyte.
const bytesPerGigabyte = 1e9

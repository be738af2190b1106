package routing

import "time"

// Limits of what a chooser believes of a report.
const (
	// reportHalfLife is the age at which half of the difference between a report and the mean is believed.
	reportHalfLife = 4 * time.Second
	// maxReportAge bounds the age of a report.
	maxReportAge = time.Hour
	// cacheHalfLife is the age at which a cached prefix is expected to remain with probability one half.
	cacheHalfLife = 120 * time.Second
	// lostHalf is the number of lost cache events after which half of the prefixes known before are expected to remain.
	lostHalf = 256
	// maxLost bounds the lost events that one gap counts.
	maxLost = 1 << 16
	// ownCertainty is the certainty that an endpoint has cached the prompt of a request sent to it.
	ownCertainty = 0.8
)

// Limits of a slow start, in prompt tokens.
const (
	coldPrefillTokens = 2048
	warmPrefillTokens = 65536
)

// Limits of the sample.
const (
	maxSamples  = 6
	maxNominees = 4
)

// slotShare is the part of a slot that must be free, as the estimate of what is outstanding is no whole number.
const slotShare = 0.5

// maxFull bounds the requests at an endpoint, for each slot, at which an instance below its share adds one.
const maxFull = 1.5

// Limits of the prefix index.
const (
	holdersPerPrefix = 4
	// prefixesPerAge is the number of prefixes after which the index starts a new age and forgets the one before the last.
	prefixesPerAge = 1 << 15
	// prefixSteps is how many lengths of a prefix are looked at below the longest.
	prefixSteps = 4
)

// BlockTokens is the number of prompt tokens in a prefix block.
const BlockTokens = 64

// finishShare is the weight of the time to finish against the time to the first token.
const finishShare = 0.1

// contentionShare is the slowdown of decoding on an endpoint whose slots are all busy, against an idle one.
const contentionShare = 0.2

// loadSpread is the spread of an estimate of the requests at an endpoint.
const loadSpread = 0.7

// holdShare is the weight of a new holding time in the mean.
const holdShare = 0.1

// Limits of what leaves the region.
const (
	// linkShare is the share of a link that one instance may use.
	linkShare = 0.1
	// linkBurst is the time whose bytes may be sent at once.
	linkBurst = 500 * time.Millisecond
	// roundTrips is the number of round trips that a forwarded request waits for.
	roundTrips = 2
	// spareShare is the share of a region's slots that stays free of requests from elsewhere.
	spareShare = 0.1
)

// bytesPerGigabyte converts the price of a link.
const bytesPerGigabyte = 1e9

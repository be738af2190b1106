// Package limits enforces the rate limits of teams across all instances without calls to a central service.
//
// A team's limit is split into one share for each region. In each region one
// instance, found by rendezvous hashing over the live ones (Thaler,
// Ravishankar, 1998), owns the region's share and leases it to the instances
// that ask, in its own region and in others, by their demand. A lease expires at
// the borrower before it expires at the lender, whatever messages are lost, late
// or duplicated, so that the rates in use never sum to more than the limit while
// each share has one owner. The package is pure: the time is passed in. Its
// types are not safe for concurrent use.
package limits

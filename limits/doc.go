// Package limits holds the rate limits of teams across all instances without a central hop.
//
// A team's limit is split into one part for each region. In each region one
// instance, found by rendezvous hashing over the live ones (Thaler,
// Ravishankar, 1998), owns the region's part and lends it to the instances that
// ask, its own region's and others', by their demand. A loan ends at the
// borrower before it ends at the lender, whatever messages are lost, late or
// doubled, so that the rates in use never sum to more than the limit while each
// part has one owner. The package is pure: the time is passed in. Its types are
// not safe for concurrent use.
package limits

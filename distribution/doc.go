// Package distribution decides how accepted revisions spread and how reports of them return.
//
// A revision travels as a delta against the one before: the bytes between the
// longest common prefix and suffix of the two encoded inventories, with a
// checksum of the result. A few relays in each region, chosen by rendezvous
// hashing (Thaler and Ravishankar, 1998), follow the control voters; the
// region's other entries follow the relays. Reports of the revisions in force
// return the same way, with only what differs from the common revision.
package distribution

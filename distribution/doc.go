// Package distribution implements the distribution of accepted inventory revisions and the reports of instances on the
// revisions that they have in force.
//
// A revision is sent as a delta against the previous one: the bytes between the
// longest common prefix and suffix of the two encoded inventories, with a
// checksum of the result. A few relays in each region, chosen by rendezvous
// hashing (Thaler and Ravishankar, 1998), follow the control voters; the
// region's other entries follow the relays. Reports of the revisions in force
// are sent along the same connections in the opposite direction and list only
// the instances that differ from the common revision.
package distribution

// Package relay distributes accepted inventory revisions from the control voters to the entries over gRPC.
//
// A Hub holds the inventory in force at one instance, with the reports of the
// instances that follow it. Server serves a hub to followers; Follower keeps a
// hub up to date from the first of its sources that is connected to the
// quorum. Package distribution chooses the sources of each instance.
package relay

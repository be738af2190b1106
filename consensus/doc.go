// Package consensus replicates a log of commands over a few voters.
//
// It follows Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014)
// with pre-vote, a leader lease, learners that catch up before they vote, and
// membership changes of one server at a time. A voter is a name together with
// the identity of the disk that stores its votes: an instance whose disk was
// wiped is a different voter, and its votes count only after it has been added
// as a member.
//
// Node is a deterministic state machine without I/O. Its inputs are the time,
// messages and a seeded random source; its outputs are Actions. The caller must
// process each Actions in this order: persist and sync HardState, Install and
// Entries; then send Messages; then apply Committed and answer Reads. It must
// not pass the next input to the node before the persisted part is synced.
package consensus

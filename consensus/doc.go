// Package consensus replicates a log of commands over a few voters.
//
// It follows Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014)
// with pre-vote, a leader lease, learners that catch up before they vote, and
// membership changes of one server at a time. A voter is a name together with
// the identity of the disk that holds its votes: an instance whose disk was
// emptied is another voter, and its votes count only after it was added.
//
// Node is a pure state machine. Time, messages and a seeded random source go
// in; Actions come out. The caller must carry out each Actions in this order:
// persist HardState, Install and Entries and sync them; then send Messages;
// then apply Committed and answer Reads. It must not give the next input to
// the node before the persisted part has been synced.
package consensus

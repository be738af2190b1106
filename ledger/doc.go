// Package ledger keeps, over the replicas of one region, the calls that may not be repeated.
//
// A key is claimed on a majority of the replicas before the first byte of its
// call is sent, and its ending is agreed on a majority after. Claims never pass
// from one attempt to another, so that a key has one dispatch at most. Endings
// are agreed by single-decree Paxos for each key, in which the claim stands for
// the first phase of ballot zero (Lamport, Paxos Made Simple, 2001).
//
// A replica that lost its memory takes part again only after it has read enough
// other replicas, and acknowledgements that it gave before its loss no longer
// count (Michael et al., Recovering Shared Objects Without Stable Storage,
// DISC 2017). If too many lost their memory, a new epoch is founded, in which
// keys that were first tried under another epoch are never claimed.
//
// The package is pure: requests and the time come in, replies and changes to be
// made durable go out.
package ledger

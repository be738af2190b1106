// Package ledger implements the replicated state machine that records, on the replicas of one region, the calls that
// must run at most once.
//
// A key is claimed on a majority of the replicas before the first byte of its call is sent, and the ending of the call
// is agreed on by a majority afterwards. A claim never passes from one attempt to another, so a key is dispatched at
// most once. Endings are agreed on by single-decree Paxos for each key; the claim takes the place of the first phase of
// ballot zero (Lamport, Paxos Made Simple, 2001).
//
// A replica is active while it holds its memory: its records, its epoch and the incarnations of the replicas. A replica
// that lost its memory becomes active again only after it has read enough other replicas, and acknowledgements that it
// gave before the loss no longer count (Michael et al., Recovering Shared Objects Without Stable Storage, DISC 2017).
// If too many replicas lost their memory, they found a new epoch, in which keys that were first tried under another
// epoch are never claimed.
//
// The package does no input or output and reads no clock: requests and the time are arguments, and replies and the
// changes to be made durable are results.
package ledger

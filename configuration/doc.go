// Package configuration holds the replicated state of the operators' inventory,
// the history of its changes, and the operators' orders.
//
// Each change has an ID and the revision that it expects. State accepts it only
// if that revision is in force. A change can be resent safely: while State keeps
// the answer to its ID, the change is not applied again and gets that answer.
// State is deterministic: every voter applies the same changes in the same order.
package configuration

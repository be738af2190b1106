// Package configuration holds the replicated state of the operators' inventory,
// the history of its changes, and the operators' orders.
//
// Each change has an ID and the revision that it expects. State accepts it only
// if that revision is in force, and answers a change ID whose answer it keeps
// with that first answer, so that a change can be resent safely. State is
// deterministic: every voter applies the same changes in the same order.
package configuration

// Package configuration is the replicated state of the operators' inventory.
//
// A change names the revision that it expects and an id of its own. The state
// accepts it only if the expected revision is in force, and answers a change
// id that it has seen with its first answer. State is deterministic and pure:
// every voter applies the same changes in the same order.
package configuration

// Package control is the daemon of a control voter.
//
// It owns the goroutines and the I/O of the quorum and holds no policy:
// package consensus decides, package journal persists, package configuration
// is the replicated state, and package relay carries what was accepted to the
// entries. One loop alone touches the consensus node, the disk and the state;
// everything else reaches it through a bounded ring of inputs.
package control

// Package fault gathers the faults of an input that is checked as a whole, so that all of them are told at once.
package fault

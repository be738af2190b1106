// Package fault collects the faults of an input that is checked as a whole, so that all of them are reported together.
package fault

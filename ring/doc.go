// Package ring is a bounded queue that joins the goroutines of a process.
package ring

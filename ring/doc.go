// Package ring provides a bounded queue between the goroutines of a process.
package ring

// Package clock holds the waits that goroutines share, which end with their context.
package clock

// Package logs writes log lines to a file without blocking the process that logs.
//
// Lines are queued in a bounded queue for one goroutine that writes them. A line that finds the queue full is dropped
// and counted, and the number of dropped lines is written before the lines that follow.
package logs

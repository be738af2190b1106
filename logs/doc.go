// Package logs carries log lines to a file without ever making their writer wait.
//
// Lines wait in a bounded ring for one goroutine that writes them. A line that finds the ring full is dropped and
// counted, and the next line that fits is preceded by one that tells the number.
package logs

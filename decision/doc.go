// Package decision keeps the recent log lines that explain decisions, within a limit in bytes.
//
// A Store is one of the writers of an instance's log. It keeps each line that
// has a correlation id or the endpoint of a placement, and evicts the oldest
// lines first. Lines never contain the content of requests.
package decision

// Package decision keeps the recent log lines that explain decisions, within a bound of bytes.
//
// A Store is one of the writers of an instance's log. It keeps each line that
// bears a correlation id or the endpoint of a placement, and forgets the
// oldest ones first. Lines never hold content of requests.
package decision

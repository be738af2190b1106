// Package control is the daemon of a control voter: it accepts configuration and distributes it to the entries.
package control

// Package inventory holds the configuration that operators edit: what they own, where it may run, and their rules.
//
// An Inventory is immutable: New checks it as a whole and builds its indexes,
// and the With methods return changed copies. Slices that are returned are
// not to be changed. Durations are whole milliseconds on the wire.
package inventory

// Package inventory holds the configuration that operators edit: the regions, models, services and teams that they own,
// the regions in which work and data are allowed, and the operators' rules.
//
// An Inventory is immutable: New validates all contents and builds the indexes,
// and the With methods return changed copies. Callers must not modify returned
// slices. Durations are whole milliseconds on the wire.
package inventory

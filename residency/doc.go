// Package residency decides in which regions a request and its data may be handled.
//
// A request may run in a region only if all labels of its data and of its team,
// its model and its service allow the region; its data may be in a region if the
// labels allow it. Labels and teams that the inventory does not define allow no
// region.
package residency

// Package residency decides in which regions a request and its data may be handled.
//
// A request may be handled in a region only if every label of its data, its
// model and its service allow the region. Labels that the inventory does not
// define allow no region.
package residency

// Package metrics counts what one process does, for /debug/vars.
//
// A Set is an expvar.Var; the program lists it once under the name of its
// role, and hands it to the parts that count.
package metrics

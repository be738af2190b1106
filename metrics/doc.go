// Package metrics counts the requests of one process, for /debug/vars.
//
// A Set is an expvar.Var; the program publishes it once under the name of its
// role, and passes it to the components that count.
package metrics

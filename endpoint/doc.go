// Package endpoint sends requests to endpoints: model engines and plain services.
//
// A call that fails before the connection is established, or before its first byte is sent, has certainly not run; the
// outcome of a call that fails later is unknown.
package endpoint

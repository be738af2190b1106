// Package endpoint speaks to endpoints: model engines and plain services.
//
// A failure before the connection was made is certain not to have run; any
// later failure of a call is of unknown outcome.
package endpoint

// Package routing chooses the endpoint that runs a request.
package routing

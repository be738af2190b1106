// Package clock provides waits that end early with their context.
package clock

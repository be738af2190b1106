// Package retry decides whether a failed request is tried again, when, and which endpoints are left alone.
//
// A retry needs a request that may be repeated, time before its deadline, and
// budget: retries are at most a share of first tries, so that a fault does not
// multiply the load. A breaker keeps work from what fails again and again, and
// lets one probe through at a time before it closes. The package is pure: the
// time and the random source are passed in. Its types are not safe for
// concurrent use.
package retry

// Package problem defines the typed failures that callers and operators receive as problem JSON (RFC 9457).
//
// Every problem has a stable code, an HTTP status and an outcome, which says
// whether the request was run. A problem never holds content of a request.
package problem

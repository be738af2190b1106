// Package problem holds the typed failures that callers and operators receive as problem JSON.
//
// Every problem has a stable code, an HTTP status and an outcome, which tells
// whether the request was run. A problem never holds content of a request.
package problem

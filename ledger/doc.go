// Package ledger records calls that may not be repeated: who made them, what was asked, and how they ended.
//
// The ledger holds digests of requests, never their content. It is pure: the
// time is passed in.
package ledger

// Package access decides which callers may use a route, by the teams of the routing table.
//
// It is pure: the table, the request and the times are passed in. It sees digests of keys, never the keys.
package access

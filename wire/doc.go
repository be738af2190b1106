// Package wire converts between the domain types and the messages of the schema, and reads operators' JSON.
//
// A decoder that can fail returns a typed error and no value for an invalid message.
package wire

// Package wire maps the domain's types to the messages of the schema, and reads operators' JSON.
//
// A decoder returns a typed error and no value if the message is not valid.
package wire

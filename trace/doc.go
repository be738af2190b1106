// Package trace reads the JSON log lines of several gateways and follows requests through them.
//
// A line may have any text before its JSON object, such as the name of the instance that a collector adds. Lines without
// an object are counted and skipped. Times are those of the lines, so that lines of instances whose clocks differ may be
// out of order.
//
// The package does not access files; it reads from any reader.
package trace

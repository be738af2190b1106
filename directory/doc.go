// Package directory publishes entries to the directory in which callers and endpoints look them up, and lists them.
package directory

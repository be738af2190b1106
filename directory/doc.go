// Package directory publishes the entries to the directory in which callers and endpoints look them up.
package directory

// Package wiregen holds the messages and settings generated from the files in schema; run make generate after a change there.
package wiregen

// Package explanation describes where a request would go now and why: the questions and the answers of the where command, their JSON
// and their tables. It decides nothing.
package explanation

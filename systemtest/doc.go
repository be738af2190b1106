// Package systemtest holds the tests that run the programs as separate processes, kill, freeze and restart them.
package systemtest

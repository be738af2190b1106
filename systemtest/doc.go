// Package systemtest holds the tests that run the programs as separate processes, and kill, freeze and restart them.
//
// To freeze a process is to suspend it with SIGSTOP, and to thaw it is to continue it with SIGCONT.
package systemtest

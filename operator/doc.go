// Package operator holds both sides of what operators ask of instances: the client of their commands, and the guard that
// control voters and entries serve their requests with.
package operator

// Package load sends requests to the gateway at a steady rate, checks each answer, and tabulates the results.
package load

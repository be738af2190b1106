// Command standin runs emulated model engines, plain services and a directory, and generates load for the gateway.
package main

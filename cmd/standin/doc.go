// Command standin runs emulated model engines, plain services and a directory, and sends load to the gateway.
package main

// Command arbutusreel runs the daemons of the gateway and provides the operators' commands.
package main

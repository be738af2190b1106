// Command arbutusreel runs the daemons of the gateway and the operators' commands.
package main

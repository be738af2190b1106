// Package operator is the client of the control daemons that the operators' commands use.
package operator

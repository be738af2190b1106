// Package operator contains both sides of operators' requests to instances: the client that operators' commands use,
// and the authorization with which control voters and entries serve the requests.
package operator

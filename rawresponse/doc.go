// Package rawresponse serves given bytes as responses, for the tests of all that reads responses.
package rawresponse

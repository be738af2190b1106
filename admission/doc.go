// Package admission decides which requests may start, which wait and which are refused at once.
//
// A request reserves the number of tokens that similar requests have actually
// used, not the number that it asks for; the reservation is extended or
// released with its stream. A request whose class cannot be served within its
// patience is refused at once. The others wait in a queue that is fair across
// teams (start-time fair queueing: Goyal, Vin, Cheng, 1996) within the priority
// of classes. The package is pure: the time is passed in. Its types are not
// safe for concurrent use.
package admission

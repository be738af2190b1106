// Package capacity decides which endpoint of a region takes a request, or that none can in time.
//
// A view of each endpoint holds what all gateways of the region have outstanding there: every gateway tells the others
// what it sent and has not seen the end of, so that the sum is the endpoint's load less what is on its way. From it
// follows the expected time to the first piece of an answer: prompt tokens that wait to be read, divided by the speed
// at which the service's endpoints were seen to read them. Speeds are learned from answers, for each service and each
// endpoint.
//
// The decisions are pure: views, time and a drawn number go in. Types that learn are not safe for concurrent use.
package capacity

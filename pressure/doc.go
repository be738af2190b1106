// Package pressure decides what a gateway holds in memory for callers that read slowly and for bodies of requests.
//
// A budget, a share of the process's memory limit, covers bodies, buffered answers and answers in progress. Beyond it, large
// bodies are refused, and the callers that have not read for the longest time lose their answers, until the rest fits. A
// gateway reads an endpoint's answer only as fast as the caller takes it, so that an answer holds its buffers and no more.
//
// The package is pure: the times are passed in. Its types are not safe for concurrent use.
package pressure

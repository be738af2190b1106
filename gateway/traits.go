package gateway

import (
	"slices"

	"arbutusreel/capacity"
	"arbutusreel/crash"
)

// traits are what crash evidence identifies a request by.
type traits struct {
	// shared holds the parts that its prompt may share with others, in their order.
	shared []crash.Part
	// request identifies the request and its repeats.
	request crash.Part
}

// newTraits returns the traits of a request with the given work.
func newTraits(i crash.Identity, w capacity.Work) traits {
	t := traits{request: i.Digest()}
	for _, part := range w.Shared() {
		t.shared = append(t.shared, crash.NewPart(i.Service, part.ID))
	}
	return t
}

// prompt returns all traits.
func (t traits) prompt() crash.Prompt {
	return crash.NewPrompt(append(slices.Clone(t.shared), t.request))
}

// traits returns the traits of the request at its present service.
func (j *job) traits() traits {
	if j.knownTraits == nil {
		t := newTraits(crash.Identity{
			Service: j.service.Name, Caller: j.callerIdentity(), Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Body: j.body,
		}, j.call.Work)
		j.knownTraits = &t
	}
	return *j.knownTraits
}

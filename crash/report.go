package crash

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPrompts and maxParts bound the prompts in the report of one crash, and their parts together. An endpoint may have as
	// many requests in progress.
	maxPrompts = 128
	maxParts   = 1024
)

// Part identifies a part of the prompts of one service, or one of its requests with all its repeats.
type Part uint64

// NewPart returns the identifier of a service's part.
func NewPart(service, id string) Part {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return Part(d.Sum64())
}

// String returns the part in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Endpoint identifies an incarnation of an endpoint.
type Endpoint struct {
	ID string
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
}

// Prompt holds parts of one prompt, and the identifier of its request, in ascending order.
type Prompt []Part

// NewPrompt returns the prompt with the given parts.
func NewPrompt(parts []Part) Prompt {
	p := slices.Clone(parts)
	slices.Sort(p)
	return slices.Compact(p)
}

// Contains reports whether the prompt has all of the given parts.
func (p Prompt) Contains(parts []Part) bool {
	for _, part := range parts {
		if _, ok := slices.BinarySearch(p, part); !ok {
			return false
		}
	}
	return true
}

// without returns the prompt without a part.
func (p Prompt) without(part Part) Prompt {
	i, ok := slices.BinarySearch(p, part)
	if !ok {
		return p
	}
	return slices.Delete(slices.Clone(p), i, i+1)
}

// Report holds the prompts that an endpoint had not begun to answer when it crashed.
type Report struct {
	Endpoint
	Prompts []Prompt
}

// With returns the report with a prompt, and whether the prompt was new and there was room for it.
func (r Report) With(p Prompt) (_ Report, added bool) {
	parts := len(p)
	for _, q := range r.Prompts {
		if slices.Equal(p, q) {
			return r, false
		}
		parts += len(q)
	}
	if len(p) == 0 || len(r.Prompts) >= maxPrompts || parts > maxParts {
		return r, false
	}
	r.Prompts = append(slices.Clone(r.Prompts), p)
	return r, true
}

// without returns the report without a part, and without the prompts that have no other one.
func (r Report) without(part Part) Report {
	reduced := Report{Endpoint: r.Endpoint}
	for _, p := range r.Prompts {
		if p = p.without(part); len(p) > 0 {
			reduced.Prompts = append(reduced.Prompts, p)
		}
	}
	return reduced
}

package trace

import "slices"

// Path collects the lines about one request, and those about the endpoints that it was sent to, in the order of time.
// Use NewPath to create it.
type Path struct {
	request string
	lines   []Line
	// states holds the last line about each endpoint's state, by instance and endpoint.
	states map[[2]string]Line
	// shown holds the state lines that are part of the path.
	shown map[string]bool
}

// NewPath returns an empty path of the request with the ID.
func NewPath(request string) *Path {
	return &Path{request: request, states: map[[2]string]Line{}, shown: map[string]bool{}}
}

// Add adds a line if it is about the request. The lines of one instance must be added in the order in which they were
// logged.
func (p *Path) Add(l Line) {
	if l.Request != p.request {
		if l.Request == "" && l.Endpoint != "" {
			p.states[[2]string{l.Instance, l.Endpoint}] = l
		}
		return
	}
	if state, ok := p.states[[2]string{l.Instance, l.Endpoint}]; ok && !p.shown[state.Text] {
		p.shown[state.Text] = true
		p.lines = append(p.lines, state)
	}
	p.lines = append(p.lines, l)
}

// Lines returns the lines of the path, ordered by time.
func (p *Path) Lines() []Line {
	ordered := slices.Clone(p.lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return a.At.Compare(b.At) })
	return ordered
}

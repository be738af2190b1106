package fault

import "strings"

// List is the list of all faults of one input, in the order in which they were found.
type List[F error] []F

// Error returns the faults, one per line.
func (l List[F]) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

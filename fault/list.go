package fault

import "strings"

// List is every fault of one input, in the order in which they were found.
type List[F error] []F

// Error lists every fault, one a line.
func (l List[F]) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

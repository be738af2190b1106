package decision

import (
	"encoding/json"
	"slices"
	"strings"
)

// moment is what the order of lines rests on.
type moment struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
}

// Merge returns the lines of several instances as one story, in the order of their times.
//
// Lines of one instance keep their order. Clocks of instances may differ, so
// the order across instances is as good as the clocks.
func Merge(stories ...[]string) []string {
	type stamped struct {
		moment
		text string
	}
	var all []stamped
	for _, story := range stories {
		last := ""
		for _, text := range story {
			s := stamped{text: text}
			_ = json.Unmarshal([]byte(text), &s.moment)
			s.Time = max(s.Time, last)
			last = s.Time
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b stamped) int { return strings.Compare(a.Time, b.Time) })
	merged := make([]string, 0, len(all))
	for _, s := range all {
		merged = append(merged, s.text)
	}
	return merged
}

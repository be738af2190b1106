package decision

import (
	"encoding/json"
	"slices"
	"strings"
)

// lineHeader holds the time and the instance of a line; lines are ordered by the time only.
type lineHeader struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
}

// Merge returns the lines of several instances in the order of their times.
//
// Lines of one instance keep their order. The order across instances is only as
// accurate as the clocks of the instances, which may differ.
func Merge(logs ...[]string) []string {
	type timedLine struct {
		lineHeader
		text string
	}
	var all []timedLine
	for _, log := range logs {
		last := ""
		for _, text := range log {
			s := timedLine{text: text}
			_ = json.Unmarshal([]byte(text), &s.lineHeader)
			s.Time = max(s.Time, last)
			last = s.Time
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b timedLine) int { return strings.Compare(a.Time, b.Time) })
	merged := make([]string, 0, len(all))
	for _, s := range all {
		merged = append(merged, s.text)
	}
	return merged
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// microsPerMilli converts the histograms' unit to milliseconds.
const microsPerMilli = 1000.0

// WriteTable writes the result as a table; a failed write is returned.
func (r Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d, whole %d, wrong %d, failed %s\n", r.Sent, r.Whole, r.Wrong, failures(r.Failed))
	fmt.Fprintf(&b, "%-14s %10s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99", "max")
	writeRow(&b, "first token", r.FirstToken)
	writeRow(&b, "finish", r.Finish)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRow(b *strings.Builder, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	fmt.Fprintf(b, "%-14s %10.2f %10.2f %10.2f %10.2f\n", name,
		float64(h.ValueAtQuantile(50))/microsPerMilli,
		float64(h.ValueAtQuantile(95))/microsPerMilli,
		float64(h.ValueAtQuantile(99))/microsPerMilli,
		float64(h.Max())/microsPerMilli)
}

func failures(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	var items []string
	for code, n := range m {
		items = append(items, fmt.Sprintf("%s=%d", code, n))
	}
	slices.Sort(items)
	return strings.Join(items, " ")
}

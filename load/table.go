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

// WriteTable writes the result as a table; it returns the error of a failed write.
func (r Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: sent %d, whole %d, wrong %d, abandoned %d, moved %d, failed %s, served %.4f, tokens asked %d and used %d\n",
		r.Mix, r.Sent, r.Whole, r.Wrong, r.Abandoned, r.Retried, formatFailures(r.Failed), r.ServedShare(), r.AskedTokens,
		r.UsedTokens)
	fmt.Fprintf(&b, "%-14s %10s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99", "max")
	writeRow(&b, "first token", r.FirstToken)
	writeRow(&b, "between tokens", r.BetweenTokens)
	writeRow(&b, "finish", r.Finish)
	for i, slow := range r.Slowest {
		fmt.Fprintf(&b, "%s%s %.0f", []string{"slowest first tokens: ", ", "}[min(i, 1)], slow.ID, slow.First.Seconds()*1000)
	}
	if len(r.Slowest) > 0 {
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRow(b *strings.Builder, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	q := quantilesOf(h)
	fmt.Fprintf(b, "%-14s %10.2f %10.2f %10.2f %10.2f\n", name, q.P50, q.P95, q.P99, q.Max)
}

// Quantiles are quantiles of a time in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}

func formatFailures(m map[string]int) string {
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

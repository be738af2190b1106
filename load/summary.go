package load

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// SummaryRow is the result of one target with one seed; seed zero stands for all seeds of the target together.
type SummaryRow struct {
	Target string
	Seed   int64
	// ServedShare is the weighted fraction of the requests not abandoned that got a complete answer within the patience.
	ServedShare float64
	// FirstToken is the time to the first token of the first mix; over all seeds it is the median of each quantile.
	FirstToken       Quantiles
	CostPerThousand  float64
	FleetPerThousand float64
	Preempted        int64
}

// Summary compares targets over several reports of one load.
type Summary struct {
	Name string
	Rows []SummaryRow
}

// targetSums accumulates the rows of one target.
type targetSums struct {
	rows          []SummaryRow
	served, all   float64
	cost, fleet   float64
	tokens        float64
	firstTokenP50 []float64
	firstTokenP95 []float64
	firstTokenP99 []float64
	firstTokenMax []float64
}

// Summarize decodes and combines the reports of a load; an invalid report returns *wire.MalformedError or
// *wire.UnknownFieldError.
func Summarize(reports [][]byte) (Summary, error) {
	var s Summary
	var order []string
	byTarget := map[string]*targetSums{}
	for _, b := range reports {
		m := &wiregen.LoadReportFile{}
		if err := wire.DecodeJSON(b, m); err != nil {
			return Summary{}, err
		}
		s.Name = m.GetName()
		for _, target := range m.GetTargets() {
			if byTarget[target.GetTarget()] == nil {
				byTarget[target.GetTarget()] = &targetSums{}
				order = append(order, target.GetTarget())
			}
			byTarget[target.GetTarget()].add(m.GetSeed(), target)
		}
	}
	for _, name := range order {
		s.Rows = append(s.Rows, byTarget[name].rows...)
		s.Rows = append(s.Rows, byTarget[name].total(name))
	}
	return s, nil
}

// add adds the report of one target.
func (s *targetSums) add(seed int64, m *wiregen.LoadTarget) {
	use := m.GetEngineUse()
	row := SummaryRow{
		Target:           m.GetTarget(),
		Seed:             seed,
		CostPerThousand:  use.GetCostPerThousandTokens(),
		FleetPerThousand: use.GetFleetPerThousandTokens(),
		Preempted:        use.GetPreempted(),
	}
	var served, all float64
	for _, mix := range m.GetMixes() {
		served += mix.GetServedWeight()
		all += mix.GetAllWeight()
	}
	row.ServedShare = ratio(served, all)
	if mixes := m.GetMixes(); len(mixes) > 0 {
		q := mixes[0].GetFirstToken()
		row.FirstToken = Quantiles{P50: q.GetP50(), P95: q.GetP95(), P99: q.GetP99(), Max: q.GetMax()}
	}
	s.rows = append(s.rows, row)
	s.served += served
	s.all += all
	tokens := float64(use.GetServedTokens())
	s.tokens += tokens
	s.cost += row.CostPerThousand * tokens
	s.fleet += row.FleetPerThousand * tokens
	s.firstTokenP50 = append(s.firstTokenP50, row.FirstToken.P50)
	s.firstTokenP95 = append(s.firstTokenP95, row.FirstToken.P95)
	s.firstTokenP99 = append(s.firstTokenP99, row.FirstToken.P99)
	s.firstTokenMax = append(s.firstTokenMax, row.FirstToken.Max)
}

// total returns the row over all seeds; costs are weighted by served tokens, and the served share by requests.
func (s *targetSums) total(target string) SummaryRow {
	row := SummaryRow{
		Target:      target,
		ServedShare: ratio(s.served, s.all),
		FirstToken: Quantiles{
			P50: median(s.firstTokenP50),
			P95: median(s.firstTokenP95),
			P99: median(s.firstTokenP99),
			Max: median(s.firstTokenMax),
		},
		CostPerThousand:  ratio(s.cost, s.tokens),
		FleetPerThousand: ratio(s.fleet, s.tokens),
	}
	for _, r := range s.rows {
		row.Preempted += r.Preempted
	}
	return row
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// median returns the middle value, or the upper one of the two middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Encode returns the summary as JSON.
func (s Summary) Encode() ([]byte, error) {
	m := &wiregen.LoadSummary{Name: s.Name}
	for _, r := range s.Rows {
		q := r.FirstToken
		m.Rows = append(m.Rows, &wiregen.LoadSummaryRow{
			Target:                 r.Target,
			Seed:                   r.Seed,
			ServedShare:            r.ServedShare,
			FirstToken:             &wiregen.LoadQuantiles{P50: q.P50, P95: q.P95, P99: q.P99, Max: q.Max},
			CostPerThousandTokens:  r.CostPerThousand,
			FleetPerThousandTokens: r.FleetPerThousand,
			Preempted:              r.Preempted,
		})
	}
	return wire.EncodeJSON(m)
}

// WriteTable writes the summary as a table; it returns the error of a failed write.
func (s Summary) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %5s %8s %9s %9s %9s %10s %10s %9s\n", s.Name, "seed", "served", "first p50", "p95", "p99 (ms)",
		"cost/1000", "fleet/1000", "put back")
	for _, r := range s.Rows {
		seed := fmt.Sprint(r.Seed)
		if r.Seed == 0 {
			seed = "all"
		}
		fmt.Fprintf(&b, "%-18s %5s %8.4f %9.0f %9.0f %9.0f %10.5f %10.5f %9d\n",
			r.Target, seed, r.ServedShare, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.CostPerThousand,
			r.FleetPerThousand, r.Preempted)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

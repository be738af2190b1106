package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// EncodeReport returns the results of an experiment as JSON.
func EncodeReport(name string, seed uint64, results []TargetResult) ([]byte, error) {
	m := &wiregen.LoadReportFile{Name: name, Seed: int64(seed)}
	for _, r := range results {
		target := &wiregen.LoadTarget{Target: r.Target, EngineUse: encodeUse(r.Use)}
		for _, mix := range r.Mixes {
			target.Mixes = append(target.Mixes, encodeResult(mix))
		}
		m.Targets = append(m.Targets, target)
	}
	return wire.EncodeJSON(m)
}

func encodeResult(r Result) *wiregen.LoadResult {
	failed := map[string]int64{}
	for code, n := range r.Failed {
		failed[code] = int64(n)
	}
	return &wiregen.LoadResult{
		Mix:           r.Mix,
		Sent:          int64(r.Sent),
		Whole:         int64(r.Whole),
		Wrong:         int64(r.Wrong),
		Abandoned:     int64(r.Abandoned),
		Moved:         int64(r.Retried),
		Failed:        failed,
		AskedTokens:   int64(r.AskedTokens),
		UsedTokens:    int64(r.UsedTokens),
		ServedShare:   r.ServedShare(),
		FirstToken:    encodeQuantiles(r.FirstToken),
		BetweenTokens: encodeQuantiles(r.BetweenTokens),
		Finish:        encodeQuantiles(r.Finish),
		ServedTokens:  int64(r.ServedTokens),
		ServedWeight:  r.Served,
		AllWeight:     r.Weight,
	}
}

func encodeUse(u EngineUse) *wiregen.EngineUse {
	return &wiregen.EngineUse{
		UpSeconds:              u.Up,
		BusySeconds:            u.Busy,
		HeldSeconds:            u.Held,
		FleetPrice:             u.FleetPrice,
		HeldPrice:              u.HeldPrice,
		ServedTokens:           int64(u.ServedTokens),
		CostPerThousandTokens:  u.CostPerThousand(),
		FleetPerThousandTokens: u.FleetPerThousand(),
		Preempted:              u.Preempted,
		MostTokens:             u.MostTokens,
	}
}

func encodeQuantiles(h *hdrhistogram.Histogram) *wiregen.LoadQuantiles {
	q := quantilesOf(h)
	return &wiregen.LoadQuantiles{P50: q.P50, P95: q.P95, P99: q.P99, Max: q.Max}
}

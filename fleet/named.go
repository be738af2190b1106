package fleet

const (
	// minNamed is the number of gateways that an answer of the directory names if there are as many, so that callers have
	// another one when one fails.
	minNamed = 3
	// minLoadFactor and maxLoadFactor bound the effect of the present load on a gateway's weight. Callers keep an answer
	// for a second or more, so that a stronger effect would move them to and fro.
	minLoadFactor = 0.7
	maxLoadFactor = 1.3
	// priorInFlight is the number of requests added to those in progress at each gateway, so that few requests have
	// little effect.
	priorInFlight = 8
)

// DrawNamed returns up to n of the gateways, from which callers pick one at random. If their weights differ, a caller picks
// each with a probability proportional to its weight and, within bounds, to how idle it is; one so large that fewer than
// minNamed gateways could be named is named in every answer. If all weights are equal, these are the first n. The draw is
// in [0, 1).
func DrawNamed(gateways []Gateway, n int, draw float64) []Gateway {
	weights, differ := namedWeights(gateways)
	if !differ {
		return gateways[:min(n, len(gateways))]
	}
	sum, largest := 0.0, 0.0
	for _, w := range weights {
		sum, largest = sum+w, max(largest, w)
	}
	k := min(max(int(sum/largest), minNamed), n, len(gateways))
	limitWeights(weights, k)
	sum = 0
	for _, w := range weights {
		sum += w
	}
	// Systematic sampling includes each gateway with k times its share of the weights, and always k of them.
	named := make([]Gateway, 0, k)
	next, passed := draw, 0.0
	for i, w := range weights {
		passed += w / sum * float64(k)
		if passed > next || i == len(weights)-1 && len(named) < k {
			named = append(named, gateways[i])
			next++
		}
	}
	return named
}

// limitWeights bounds the weights so that none exceeds a kth of their sum.
func limitWeights(weights []float64, k int) {
	for range weights {
		sum, full := 0.0, 0
		for _, w := range weights {
			sum += w
		}
		rest := sum
		for _, w := range weights {
			if w*float64(k) >= sum {
				full, rest = full+1, rest-w
			}
		}
		if full == 0 || full >= k || rest <= 0 {
			break
		}
		limit := rest / float64(k-full)
		changed := false
		for i, w := range weights {
			if w > limit {
				changed = changed || w-limit > 1e-9*sum
				weights[i] = limit
			}
		}
		if !changed {
			break
		}
	}
}

// namedWeights returns the weights of gateways at their present load, and whether the weights themselves differ. Gateways
// of unknown weight count as average ones.
func namedWeights(gateways []Gateway) (weights []float64, differ bool) {
	sum, known, inFlight := 0.0, 0, 0
	for _, g := range gateways {
		differ = differ || g.Weight != gateways[0].Weight
		inFlight += g.InFlight
		if g.Weight > 0 {
			sum, known = sum+g.Weight, known+1
		}
	}
	if !differ {
		return nil, false
	}
	mean := sum / float64(known)
	total := sum + mean*float64(len(gateways)-known)
	for _, g := range gateways {
		w := g.Weight
		if w <= 0 {
			w = mean
		}
		usual := float64(inFlight) * w / total
		factor := (usual + priorInFlight) / (float64(g.InFlight) + priorInFlight)
		weights = append(weights, w*min(max(factor, minLoadFactor), maxLoadFactor))
	}
	return weights, true
}

package capacity

const (
	// priorLengths is the number of answers of the hinted length that are added to those observed.
	priorLengths = 20.0
	// lengthDecay is the factor by which the weight of earlier answers falls with each one.
	lengthDecay = 1 - 1.0/500
	// minLengthRatio and maxLengthRatio bound the ratio of actual to hinted length of a single answer.
	minLengthRatio = 0.25
	maxLengthRatio = 4.0
)

// Lengths is how long the answers of a route are relative to their hints, which may be far off. It is an immutable value.
type Lengths struct {
	ratios, count float64
}

// With returns the lengths after an answer of the given number of tokens.
func (l Lengths) With(hinted, actual int64) Lengths {
	if hinted <= 0 || actual <= 0 {
		return l
	}
	ratio := min(max(float64(actual)/float64(hinted), minLengthRatio), maxLengthRatio)
	return Lengths{ratios: l.ratios*lengthDecay + ratio, count: l.count*lengthDecay + 1}
}

// Expected returns the expected length of an answer with the given hint, at most the bound; zero sets no bound.
func (l Lengths) Expected(hinted, bound int64) int64 {
	if hinted <= 0 {
		return 0
	}
	expected := max(int64(float64(hinted)*(l.ratios+priorLengths)/(l.count+priorLengths)), 1)
	if bound > 0 {
		return min(expected, bound)
	}
	return expected
}

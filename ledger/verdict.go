package ledger

import "time"

// Verdict is the state of a key that was not claimed, as the replies of the replicas show it.
type Verdict int

// Verdicts.
const (
	// Unavailable means that too few replicas answered to decide.
	Unavailable Verdict = iota
	// Stale means that the key is not known, and that it may have been tried in an epoch whose records are lost.
	Stale
	// Full means that the key is not known and a majority of the replicas is full.
	Full
	// Reused means that the key belongs to a request with another content.
	Reused
	// Running means that the call is in progress.
	Running
	// InDoubt means that the call may have run and its lease has expired.
	InDoubt
	// Answered means that the call has an ending, which may not be agreed on yet.
	Answered
)

// DeriveVerdict derives the verdict for an attempt from the replies to its lost claim or to a read, and returns it with
// the record that it is based on. An empty digest matches every record.
func DeriveVerdict(now time.Time, n int, attempt, digest string, replies []Reply) (Verdict, Record) {
	best, found := selectRecord(now, attempt, replies)
	switch {
	case !found:
		return deriveVerdictWithoutRecord(n, replies), Record{}
	case digest != "" && best.Digest != digest:
		return Reused, best
	case best.Value.Ending != Open:
		return Answered, best
	case best.InProgress(now):
		return Running, best
	default:
		return InDoubt, best
	}
}

// selectRecord returns the record that takes precedence over the others. Withdrawn claims and the claim of the attempt
// itself are ignored.
func selectRecord(now time.Time, attempt string, replies []Reply) (best Record, found bool) {
	for _, r := range replies {
		own := attempt != "" && r.Call.Attempt == attempt
		if !r.Found || r.Call.Withdrawn || own {
			continue
		}
		if !found || supersedes(now, r.Call, best) {
			best, found = r.Call, true
		}
	}
	return best, found
}

// deriveVerdictWithoutRecord derives the verdict if no reply holds a record of the key.
func deriveVerdictWithoutRecord(n int, replies []Reply) Verdict {
	counts := map[Refusal]int{}
	for _, r := range replies {
		counts[r.Refusal]++
	}
	switch {
	case counts[RefusedEpoch] > 0:
		return Stale
	case counts[RefusedFull] >= Quorum(n):
		return Full
	default:
		return Unavailable
	}
}

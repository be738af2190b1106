package ledger

import "time"

// Verdict is what the replicas know of a key that was not claimed.
type Verdict int

// Verdicts.
const (
	// Unavailable says that too few replicas answered to tell.
	Unavailable Verdict = iota
	// Stale says that the key is not known and may have been tried before the replicas lost their memory.
	Stale
	// NoRoom says that the key is new and the replicas keep as many calls as they may.
	NoRoom
	// Reused says that the key belongs to another request.
	Reused
	// Running says that the call is in progress.
	Running
	// InDoubt says that the call may have run.
	InDoubt
	// Answered says that the call has an ending, agreed or not.
	Answered
)

// Judge returns the verdict on an attempt from replies to its lost claim or to a read, with the record that it rests on; an empty digest fits every record.
func Judge(now time.Time, n int, attempt, digest string, replies []Reply) (Verdict, Record) {
	best, found := strongest(now, attempt, replies)
	switch {
	case !found:
		return judgeUnknown(n, replies), Record{}
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

// strongest returns the record that says most; withdrawn claims and the attempt's own count as none.
func strongest(now time.Time, attempt string, replies []Reply) (best Record, found bool) {
	for _, r := range replies {
		own := attempt != "" && r.Call.Attempt == attempt
		if !r.Found || r.Call.Withdrawn || own {
			continue
		}
		if !found || stronger(now, r.Call, best) {
			best, found = r.Call, true
		}
	}
	return best, found
}

func judgeUnknown(n int, replies []Reply) Verdict {
	counts := map[Refusal]int{}
	for _, r := range replies {
		counts[r.Refusal]++
	}
	switch {
	case counts[RefusedEpoch] > 0:
		return Stale
	case counts[RefusedFull] >= Quorum(n):
		return NoRoom
	default:
		return Unavailable
	}
}

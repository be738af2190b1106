package crash

import "time"

// SettledCrashes is the number of crashes from which on a suspect request is held back until the evidence against it counts.
// After fewer, requests that merely were in progress at a crash go on, one at a time.
const SettledCrashes = 2

// MaxCrashes is the number of endpoints that may crash under one request before it is given up.
const MaxCrashes = 2

// MaxHoldTime bounds the time for which a suspect request is held back: two settle times of the evidence.
const MaxHoldTime = 2 * settleTime

// Trials holds the suspect requests that one instance has sent. Only one with the same suspect part is sent at a time: either
// its answer shows that the part is sound, or it crashes one endpoint only. Use NewTrials to create it.
type Trials struct {
	byPart map[Part]*Trial
}

// Trial is an attempt of a suspect request.
type Trial struct {
	parts []Part
}

// Hold is the reason for which a suspect request is delayed.
type Hold struct {
	// Until is when the evidence counts; zero if the request waits for the end of another trial.
	Until time.Time
	// Crashes is the highest number of crashes under a part of the request.
	Crashes int
}

// NewTrials returns an empty set of trials.
func NewTrials() *Trials { return &Trials{byPart: map[Part]*Trial{}} }

// Begin begins the trial of a request with the given parts, or returns why it is to be held back. It returns neither if no
// part is suspect.
func (t *Trials) Begin(now time.Time, e *Evidence, parts Prompt) (*Trial, *Hold) {
	if e.Len() == 0 {
		return nil, nil
	}
	trial := &Trial{}
	hold := Hold{}
	for _, part := range parts {
		s := e.Suspicion(part)
		if s.Crashes == 0 {
			continue
		}
		trial.parts = append(trial.parts, part)
		hold.Crashes = max(hold.Crashes, s.Crashes)
		if s.SettlesAt.After(hold.Until) {
			hold.Until = s.SettlesAt
		}
	}
	if len(trial.parts) == 0 {
		return nil, nil
	}
	if hold.Crashes >= SettledCrashes && now.Before(hold.Until) {
		return nil, &hold
	}
	for _, part := range trial.parts {
		if t.byPart[part] != nil {
			return nil, &Hold{Crashes: hold.Crashes}
		}
	}
	for _, part := range trial.parts {
		t.byPart[part] = trial
	}
	return trial, nil
}

// End ends a trial, and reports whether it was in progress.
func (t *Trials) End(trial *Trial) (ended bool) {
	if trial == nil {
		return false
	}
	for _, part := range trial.parts {
		if t.byPart[part] == trial {
			delete(t.byPart, part)
			ended = true
		}
	}
	return ended
}

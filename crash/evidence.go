package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReports bounds the crashes in the evidence; beyond it the oldest one is dropped.
	maxReports = 256
	// maxSound is the number of sound parts that are kept at least.
	maxSound = 4096
	// Retention is how long a crash counts after it became known, or after it last served to block a request, but no
	// longer than maxRetention: a part that was blocked by mistake gets another chance.
	Retention    = 10 * time.Minute
	maxRetention = time.Hour
	// settleTime is how long after it became known a report is used to block. By then the gateways under which one of
	// its parts has begun have said so.
	settleTime = 500 * time.Millisecond
)

// Evidence is what is known about crashes. Use NewEvidence to create it.
type Evidence struct {
	reports map[Endpoint]*entry
	// sound holds parts of reports under which an answer has begun.
	sound *Set[Part]
	// byPart holds the reports of each part, and common is the number of parts that MinCrashes reports or more have.
	byPart map[Part]map[Endpoint]*entry
	common int

	signatures []Signature
	// judgeAt is when the signatures have to be judged anew; zero if nothing has changed.
	judgeAt time.Time
}

// Suspicion is what speaks against a part.
type Suspicion struct {
	// Crashes is the number of crashes that were reported under the part.
	Crashes int
	// SettlesAt is when the last one of them counts.
	SettlesAt time.Time
}

// entry is a report with the times of its retention.
type entry struct {
	report Report
	// firstAt and knownAt are when the report and the last addition to it became known, and usedAt when it last served
	// to block a request.
	firstAt, knownAt, usedAt time.Time
}

// NewEvidence returns evidence without any crash.
func NewEvidence() *Evidence {
	return &Evidence{reports: map[Endpoint]*entry{}, sound: NewSet[Part](maxSound), byPart: map[Part]map[Endpoint]*entry{}}
}

// Add adds a report and returns what was new in it, without the parts that are known to be sound; ok is false if
// nothing was.
func (e *Evidence) Add(now time.Time, r Report) (added Report, ok bool) {
	known := e.reports[r.Endpoint]
	if known == nil {
		known = &entry{report: Report{Endpoint: r.Endpoint}, firstAt: now}
	}
	added.Endpoint = r.Endpoint
	for _, p := range r.Prompts {
		suspect := NewPrompt(slices.DeleteFunc(slices.Clone(p), e.sound.Has))
		if grown, isNew := known.report.With(suspect); isNew {
			known.report = grown
			added.Prompts = append(added.Prompts, suspect)
			e.index(known, suspect)
		}
	}
	if len(added.Prompts) == 0 {
		return Report{}, false
	}
	known.knownAt, known.usedAt = now, now
	e.reports[r.Endpoint] = known
	if len(e.reports) > maxReports {
		e.dropOldest()
	}
	e.change(now.Add(settleTime))
	return added, true
}

func (e *Evidence) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(e.reports)), func(a, b *entry) int {
		return cmp.Or(a.usedAt.Compare(b.usedAt), cmp.Compare(a.report.ID, b.report.ID))
	})
	e.drop(oldest)
}

// drop removes a report.
func (e *Evidence) drop(known *entry) {
	delete(e.reports, known.report.Endpoint)
	for _, part := range known.report.parts() {
		reports := e.byPart[part]
		if len(reports) == MinCrashes {
			e.common--
		}
		if delete(reports, known.report.Endpoint); len(reports) == 0 {
			delete(e.byPart, part)
		}
	}
}

// index adds a report to those of the parts.
func (e *Evidence) index(known *entry, parts Prompt) {
	for _, part := range parts {
		reports := e.byPart[part]
		if reports == nil {
			reports = map[Endpoint]*entry{}
			e.byPart[part] = reports
		}
		if _, ok := reports[known.report.Endpoint]; ok {
			continue
		}
		reports[known.report.Endpoint] = known
		if len(reports) == MinCrashes {
			e.common++
		}
	}
}

// change notes that the signatures have to be judged at the given time.
func (e *Evidence) change(at time.Time) {
	if e.judgeAt.IsZero() || at.Before(e.judgeAt) {
		e.judgeAt = at
	}
}

// Clear records that an answer has begun under a part, and reports whether that was new.
func (e *Evidence) Clear(now time.Time, part Part) (added bool) {
	if e.sound.Has(part) {
		return false
	}
	e.sound.Add(part)
	reports := e.byPart[part]
	delete(e.byPart, part)
	if len(reports) >= MinCrashes {
		e.common--
		e.change(now)
	}
	for endpoint, known := range reports {
		known.report = known.report.without(part)
		if len(known.report.Prompts) == 0 {
			delete(e.reports, endpoint)
		}
	}
	return true
}

// Suspects reports whether a crash was reported under a part that is not known to be sound.
func (e *Evidence) Suspects(part Part) bool { return e.Suspicion(part).Crashes > 0 }

// Suspicion returns what speaks against a part.
func (e *Evidence) Suspicion(part Part) Suspicion {
	reports := e.byPart[part]
	s := Suspicion{Crashes: len(reports)}
	for _, known := range reports {
		if at := known.knownAt.Add(settleTime); at.After(s.SettlesAt) {
			s.SettlesAt = at
		}
	}
	return s
}

// Len returns the number of crashes in the evidence.
func (e *Evidence) Len() int { return len(e.reports) }

// Reports returns the reports in the evidence, ordered by endpoint.
func (e *Evidence) Reports() []Report {
	var all []Report
	for _, known := range e.reports {
		all = append(all, known.report)
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return all
}

// Sound returns the parts that are known to be sound.
func (e *Evidence) Sound() []Part { return e.sound.All() }

// Signatures returns the signatures of the prompts that are blocked.
func (e *Evidence) Signatures(now time.Time) []Signature {
	if e.judgeAt.IsZero() || now.Before(e.judgeAt) {
		return e.signatures
	}
	e.judgeAt = time.Time{}
	var settled []Report
	for _, known := range e.reports {
		switch wait := settleTime - now.Sub(known.knownAt); {
		case now.Sub(known.usedAt) > Retention || now.Sub(known.firstAt) > maxRetention:
			e.drop(known)
		case wait > 0:
			e.change(now.Add(wait))
		default:
			settled = append(settled, known.report)
		}
	}
	e.signatures = nil
	if e.common > 0 {
		e.signatures = Judge(settled)
	}
	if len(e.reports) > 0 {
		e.change(now.Add(Retention / 10))
	}
	return e.signatures
}

// Blocks returns the signature by which a prompt is blocked, and false if there is none.
func (e *Evidence) Blocks(now time.Time, p Prompt) (Signature, bool) {
	for _, s := range e.Signatures(now) {
		if !p.Contains(s.Parts) {
			continue
		}
		for _, known := range e.reports {
			if slices.ContainsFunc(known.report.Prompts, func(q Prompt) bool { return q.Contains(s.Parts) }) {
				known.usedAt = now
			}
		}
		return s, true
	}
	return Signature{}, false
}

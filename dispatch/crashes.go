package dispatch

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"arbutusreel/crash"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/retry"
)

const (
	// maxSharedPrefixes is the number of prefixes of a prompt, the shortest first, that are watched for crashes.
	maxSharedPrefixes = 256
	// maxSuspectPrefixes is the number of prefixes of one prompt in the report of a crash: those of its first blocks under
	// which no answer has begun.
	maxSuspectPrefixes = 32
	// maxBegunPrefixes is the number of prefixes under which an answer has begun that an instance remembers at least.
	maxBegunPrefixes = 1 << 16
	// crashCheckTime is how long after an attempt broke off it may be found out that its endpoint has crashed.
	crashCheckTime = 10 * time.Second
	// maxBegunRequests is the number of answered requests that an instance remembers at least.
	maxBegunRequests = 1 << 16
	// holdPollPeriod is the interval at which a request that is held back is looked at again.
	holdPollPeriod = 20 * time.Millisecond
	// maxReachProbes is the number of other endpoints that are connected to when one may have crashed.
	maxReachProbes = 4
	// suspectRetryAfter is the retry delay given to the caller of a request that was held back for too long.
	suspectRetryAfter = time.Second
)

// crashes holds what this instance knows about crashes of endpoints, by the prefixes of prompts and by requests. It is safe
// for concurrent use.
type crashes struct {
	mu       sync.Mutex
	evidence *crash.Evidence
	// begun holds the prefixes under which an answer has begun here, and begunRequests the requests.
	begun, begunRequests *crash.Set[crash.Part]
	trials               *crash.Trials
	// checking holds the endpoints for which it is being found out whether they have crashed.
	checking map[crash.Endpoint]bool
	// broken holds the reports of endpoints that may have crashed, and brokenAt when an attempt first broke off there.
	broken   map[crash.Endpoint]crash.Report
	brokenAt map[crash.Endpoint]time.Time
	// revision increases with each change of the evidence.
	revision int
}

func newCrashes() *crashes {
	return &crashes{
		evidence: crash.NewEvidence(), begun: crash.NewSet[crash.Part](maxBegunPrefixes),
		begunRequests: crash.NewSet[crash.Part](maxBegunRequests), trials: crash.NewTrials(), checking: map[crash.Endpoint]bool{},
		broken: map[crash.Endpoint]crash.Report{}, brokenAt: map[crash.Endpoint]time.Time{},
	}
}

// sharedPrefixes returns the prefixes that a prompt may share with others, the shortest first. The last one is its own.
func sharedPrefixes(r Request) []crash.Part {
	var parts []crash.Part
	for _, hash := range r.Prefixes[:min(max(len(r.Prefixes)-1, 0), maxSharedPrefixes)] {
		parts = append(parts, crash.NewPart(r.Service, strconv.FormatUint(hash, 16)))
	}
	return parts
}

// digest returns the identifier of a request and its repeats.
func digest(r Request) crash.Part {
	return crash.Identity{Service: r.Service, Caller: r.Team, Method: r.Method, Target: r.Path, Body: r.Body}.Digest()
}

// traits returns the prefixes of a request's prompt and the identifier of the request.
func traits(r Request) crash.Prompt { return crash.NewPrompt(append(sharedPrefixes(r), digest(r))) }

func incarnationOf(e membership.Endpoint) crash.Endpoint {
	return crash.Endpoint{ID: e.Name, Born: e.Incarnation}
}

// recordBegun records that an answer has begun, so that the request and the prefixes of its prompt are sound.
func (c *crashes) recordBegun(now time.Time, r Request) {
	parts, request := sharedPrefixes(r), digest(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		c.begun.Add(part)
	}
	c.begunRequests.Add(request)
	for _, part := range append(parts, request) {
		if c.evidence.Suspects(part) && c.evidence.Clear(now, part) {
			c.revision++
		}
	}
}

func (c *crashes) hasBegun(part crash.Part) bool {
	return c.begun.Has(part) || c.begunRequests.Has(part)
}

// beginTrial begins the trial of a suspect request, or returns why it is to be held back. It returns neither for a request
// that is not suspect.
func (c *crashes) beginTrial(now time.Time, r Request) (*crash.Trial, *crash.Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evidence.Len() == 0 && len(c.checking) == 0 {
		return nil, nil
	}
	var unknown crash.Prompt
	for _, part := range traits(r) {
		if !c.hasBegun(part) {
			unknown = append(unknown, part)
		}
	}
	if c.underCheck(unknown) {
		return nil, &crash.Hold{Crashes: 1}
	}
	return c.trials.Begin(now, c.evidence, unknown)
}

// underCheck reports whether an endpoint is being checked that broke off a request with one of the parts.
func (c *crashes) underCheck(parts crash.Prompt) bool {
	for e := range c.checking {
		for _, p := range c.broken[e].Prompts {
			if slices.ContainsFunc(parts, func(part crash.Part) bool { return p.Contains([]crash.Part{part}) }) {
				return true
			}
		}
	}
	return false
}

func (c *crashes) endTrial(t *crash.Trial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trials.End(t)
}

// endCheck records the result of connecting again to an endpoint whose connection broke.
func (c *crashes) endCheck(now time.Time, e crash.Endpoint, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checking, e)
	if crashed {
		c.confirmLocked(now, e)
	}
}

// recordAttempt records a failed attempt at an endpoint. One that broke off before the answer began may have crashed it. It reports
// whether the request is suspect, and whether the endpoint is to be checked.
func (c *crashes) recordAttempt(now time.Time, e membership.Endpoint, r Request, began bool, err error, failure retry.Failure) (suspect, check bool) {
	var p *problem.Problem
	var stalled *StalledError
	if failure == retry.Doubtful && !began && !errors.As(err, &p) && !errors.As(err, &stalled) {
		return c.addBroken(now, incarnationOf(e), r)
	}
	return false, false
}

// addBroken adds a prompt to those that broke off at an endpoint, unless all of its prefixes are sound. It reports whether
// it did, and whether the prompt is the first one.
func (c *crashes) addBroken(now time.Time, e crash.Endpoint, r Request) (added, first bool) {
	parts := sharedPrefixes(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := slices.DeleteFunc(parts, c.begun.Has)
	suspects = suspects[:min(len(suspects), maxSuspectPrefixes)]
	if request := digest(r); !c.begunRequests.Has(request) {
		suspects = append(suspects, request)
	}
	report, known := c.broken[e]
	report.Endpoint = e
	report, added = report.With(crash.NewPrompt(suspects))
	if !added {
		return len(suspects) > 0, false
	}
	c.broken[e] = report
	if !known {
		c.brokenAt[e], c.checking[e] = now, true
	}
	return true, !known
}

// confirmLocked adds the crash of an endpoint to the evidence if an attempt broke off there before; c.mu must be held.
func (c *crashes) confirmLocked(now time.Time, e crash.Endpoint) {
	report, ok := c.broken[e]
	if !ok {
		return
	}
	c.forget(e)
	if _, added := c.evidence.Add(now, report); added {
		c.revision++
	}
}

func (c *crashes) forget(e crash.Endpoint) {
	delete(c.broken, e)
	delete(c.brokenAt, e)
	delete(c.checking, e)
}

// observe finds out from the known endpoints which of those where attempts broke off have crashed: they are listed with a
// later start, and had not announced that they would leave. One that is listed no longer may be cut off.
func (c *crashes) observe(now time.Time, endpoints []membership.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e, at := range c.brokenAt {
		i := slices.IndexFunc(endpoints, func(listed membership.Endpoint) bool { return listed.Name == e.ID })
		switch {
		case now.Sub(at) > crashCheckTime || i >= 0 && endpoints[i].Leaving && endpoints[i].Incarnation == e.Born:
			c.forget(e)
		case i >= 0 && endpoints[i].Incarnation > e.Born:
			c.confirmLocked(now, e)
		}
	}
}

// refusal returns a refusal if the request or its prompt is blocked, or nil.
func (c *crashes) refusal(now time.Time, r Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.evidence.Signatures(now)) == 0 {
		return nil
	}
	signature, blocked := c.evidence.Blocks(now, traits(r))
	if !blocked {
		return nil
	}
	code := problem.PromptBlocked
	if slices.Contains(signature.Parts, digest(r)) {
		code = problem.RequestBlocked
	}
	return problem.New(code, http.StatusServiceUnavailable, "endpoints of service %q crashed %d times under the request or the beginning of its prompt", r.Service, signature.Crashes).
		WithRetryAfter(crash.Retention)
}

// isBlocked reports whether an error is the refusal of a blocked request.
func isBlocked(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && (p.Code == problem.PromptBlocked || p.Code == problem.RequestBlocked)
}

// CrashFacts returns what this instance knows about crashes, and a number that increases when it changes.
func (d *Dispatcher) CrashFacts() (facts crash.Facts, revision int) {
	c := d.scheduler.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	return crash.Facts{Reports: c.evidence.Reports(), Sound: c.evidence.Sound()}, c.revision
}

// AddCrashFacts adds what another instance knows about crashes.
func (d *Dispatcher) AddCrashFacts(facts crash.Facts) {
	c := d.scheduler.crashes
	now := d.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range facts.Sound {
		if c.evidence.Clear(now, part) {
			c.revision++
		}
	}
	for _, r := range facts.Reports {
		added, ok := c.evidence.Add(now, r)
		if !ok {
			continue
		}
		c.revision++
		for _, p := range added.Prompts {
			for _, part := range p {
				if c.hasBegun(part) {
					c.evidence.Clear(now, part)
				}
			}
		}
	}
}

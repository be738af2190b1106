package gateway

import (
	"expvar"
	"sync"
	"time"

	"arbutusreel/crash"
	"arbutusreel/metrics"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	// maxBegunParts is the number of parts under which an answer has begun here that a gateway remembers at least.
	maxBegunParts = 1 << 15
	// maxBegunRequests is the same for requests, of which there are more.
	maxBegunRequests = 1 << 16
	// maxWaitingCrashes bounds the news that wait to be sent over the links of one kind; beyond it all evidence is sent.
	maxWaitingCrashes = 256
	// maxOwnCrashes is the number of this gateway's own news that are kept for other regions; a stream that lags further
	// behind gets all evidence.
	maxOwnCrashes = 1024
)

// crashes holds what this gateway knows about crashes of endpoints, and what is to be sent to other gateways. It is safe
// for concurrent use.
type crashes struct {
	// changed receives a value when evidence waits to be sent to gateways of the region.
	changed chan struct{}
	// seen counts the crashes that this gateway reported itself.
	seen expvar.Int

	mu       sync.Mutex
	evidence *crash.Evidence
	// begun holds the parts under which an answer has begun at this gateway, and begunRequests the requests.
	begun, begunRequests *crash.Set[crash.Part]
	// waiting holds the news for the links of each kind.
	waiting map[wiregen.ReportLink]crash.Facts
	// own holds the latest news of this gateway for other regions, numbered from ownFirst.
	own      []crash.Facts
	ownFirst int
	// checks are those of endpoints that may have crashed.
	checks map[crash.Endpoint]*crashCheck
	// trials are the suspect requests in progress, and progress is closed and replaced when a trial or a check has ended.
	trials   *crash.Trials
	progress chan struct{}
}

// crashCheck is the check of an endpoint that broke off requests.
type crashCheck struct {
	// report holds the requests.
	report crash.Report
	// done is closed when the check has ended, after crashed was set.
	done    chan struct{}
	crashed bool
}

// newCrashes returns an empty collection and adds its counters to a metrics set.
func newCrashes(set *metrics.Set) *crashes {
	c := &crashes{
		changed: make(chan struct{}, 1), evidence: crash.NewEvidence(), begun: crash.NewSet[crash.Part](maxBegunParts),
		begunRequests: crash.NewSet[crash.Part](maxBegunRequests),
		waiting:       map[wiregen.ReportLink]crash.Facts{}, checks: map[crash.Endpoint]*crashCheck{}, trials: crash.NewTrials(), progress: make(chan struct{}),
	}
	set.Publish("crashesSeen", &c.seen)
	set.Publish("crashesKnown", expvar.Func(func() any { return c.known() }))
	set.Publish("promptsBlocked", expvar.Func(func() any { return len(c.signatures(time.Now())) }))
	return c
}

func (c *crashes) known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Len()
}

// signatures returns the signatures of the prompts that are blocked.
func (c *crashes) signatures(now time.Time) []crash.Signature {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Signatures(now)
}

// blocks returns the signature by which a request is blocked, and false if there is none.
func (c *crashes) blocks(now time.Time, t traits) (crash.Signature, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.evidence.Signatures(now)) == 0 {
		return crash.Signature{}, false
	}
	return c.evidence.Blocks(now, t.prompt())
}

// hasBegun reports whether an answer to a request, or under a part, has begun at this gateway.
func (c *crashes) hasBegun(part crash.Part) bool {
	return c.begun.Has(part) || c.begunRequests.Has(part)
}

// recordBegun records that the answer to a request has begun, so that it is sound, and the shared parts of its prompt are.
func (c *crashes) recordBegun(now time.Time, t traits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range t.shared {
		c.begun.Add(part)
	}
	c.begunRequests.Add(t.request)
	if c.evidence.Len() == 0 {
		return
	}
	var news crash.Facts
	for _, part := range t.prompt() {
		if c.evidence.Suspects(part) && c.evidence.Clear(now, part) {
			news.Sound = append(news.Sound, part)
		}
	}
	c.publish(news)
}

// suspects returns the traits of a request under which no answer has begun as far as this gateway knows. The first
// part, which all prompts of a kind may have, is left out if there are other parts.
func (c *crashes) suspects(t traits) crash.Prompt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var suspects []crash.Part
	for i, part := range t.shared {
		if c.begun.Has(part) {
			continue
		}
		if i > 0 && len(suspects) == 1 && suspects[0] == t.shared[0] {
			suspects = suspects[:0]
		}
		suspects = append(suspects, part)
	}
	if !c.begunRequests.Has(t.request) {
		suspects = append(suspects, t.request)
	}
	return crash.NewPrompt(suspects)
}

// beginCheck adds a request to those that broke off at an endpoint, and reports whether it is the first one, so that it is
// to be found out whether the endpoint has crashed.
func (c *crashes) beginCheck(e crash.Endpoint, p crash.Prompt) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check = c.checks[e]
	if first = check == nil; first {
		check = &crashCheck{report: crash.Report{Endpoint: e}, done: make(chan struct{})}
		c.checks[e] = check
	}
	check.report, _ = check.report.With(p)
	return check, first
}

// endCheck ends the check of an endpoint, and reports its crash to other gateways if it has crashed.
func (c *crashes) endCheck(now time.Time, e crash.Endpoint, crashed bool) crash.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[e]
	delete(c.checks, e)
	check.crashed = crashed
	close(check.done)
	c.signalProgress()
	if !crashed {
		return check.report
	}
	c.seen.Add(1)
	if added, ok := c.evidence.Add(now, check.report); ok {
		c.publish(crash.Facts{Reports: []crash.Report{added}})
	}
	return check.report
}

// receive adds evidence that arrived over a link, passes on what is new of it, and answers which of its parts are sound as
// far as this gateway knows.
func (c *crashes) receive(now time.Time, link wiregen.ReportLink, m *wiregen.CrashEvidence) {
	received := wire.DecodeCrashes(m)
	if received.Len() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var relayed, own crash.Facts
	for _, part := range received.Sound {
		if c.evidence.Clear(now, part) {
			relayed.Sound = append(relayed.Sound, part)
		}
	}
	for _, r := range received.Reports {
		added, ok := c.evidence.Add(now, r)
		if !ok {
			continue
		}
		relayed.Reports = append(relayed.Reports, added)
		for _, prompt := range added.Prompts {
			for _, part := range prompt {
				if c.hasBegun(part) && c.evidence.Clear(now, part) {
					own.Sound = append(own.Sound, part)
				}
			}
		}
	}
	c.relay(relayed, onwardLinks(link)...)
	c.publish(own)
}

// publish queues news of this gateway itself for all others.
func (c *crashes) publish(news crash.Facts) {
	if news.Len() == 0 {
		return
	}
	c.relay(news, wiregen.ReportLink_row, wiregen.ReportLink_column, wiregen.ReportLink_domain)
	c.own = append(c.own, news)
	if drop := len(c.own) - maxOwnCrashes; drop > 0 {
		c.own, c.ownFirst = c.own[drop:], c.ownFirst+drop
	}
}

// relay queues news for the links of some kinds.
func (c *crashes) relay(news crash.Facts, links ...wiregen.ReportLink) {
	if news.Len() == 0 || len(links) == 0 {
		return
	}
	for _, link := range links {
		waiting := c.waiting[link].Plus(news)
		if waiting.Len() > maxWaitingCrashes {
			waiting = c.all()
		}
		c.waiting[link] = waiting
	}
	signal(c.changed)
}

// all returns all evidence.
func (c *crashes) all() crash.Facts {
	return crash.Facts{Reports: c.evidence.Reports(), Sound: c.evidence.Sound()}
}

// takeInto moves the waiting news into the messages for the links, and adds the messages that are missing.
func (c *crashes) takeInto(messages map[wiregen.ReportLink]*wiregen.OutstandingReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for link, news := range c.waiting {
		if messages[link] == nil {
			messages[link] = &wiregen.OutstandingReport{Link: link}
		}
		messages[link].Crashes = wire.EncodeCrashes(news)
	}
	clear(c.waiting)
}

// since returns this gateway's own news from a position on, and the next position. If the position is negative, or the
// news are no longer kept, it returns all evidence.
func (c *crashes) since(position int) (_ *wiregen.CrashEvidence, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = c.ownFirst + len(c.own)
	if position < c.ownFirst {
		return wire.EncodeCrashes(c.all()), next
	}
	var news crash.Facts
	for _, n := range c.own[position-c.ownFirst:] {
		news = news.Plus(n)
	}
	return wire.EncodeCrashes(news), next
}

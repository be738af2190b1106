package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/crash"
	"arbutusreel/exchange"
	"arbutusreel/fleet"
)

// maxCrashChecks bounds the endpoints that wait to be checked for a crash.
const maxCrashChecks = 64

// examineBreak has an endpoint checked for a crash if its connection broke before it began to answer the request. Without
// a crash the request says nothing about its prompt.
func (j *job) examineBreak(ctx context.Context, a *attempt, err error) {
	var failure *exchange.Error
	if errors.As(err, &failure) && failure.Stage == exchange.Connecting || context.Cause(ctx) != nil || !a.firstAt.IsZero() {
		return
	}
	j.crashCheck = j.g.examineEndpoint(a.endpoint, j.traits())
}

// examineEndpoint has an endpoint checked for a crash that may have been caused by a request. It returns the check.
func (g *Gateway) examineEndpoint(e fleet.Endpoint, t traits) *crashCheck {
	key := crash.Endpoint{ID: e.ID, Born: e.Born}
	check, first := g.crashes.beginCheck(key, g.crashes.suspects(t))
	if !first {
		return check
	}
	select {
	case g.broken <- e:
	default:
		g.crashes.endCheck(time.Now(), key, false)
	}
	return check
}

// countCrash waits until it is known whether the endpoint that broke off the last attempt has crashed, for a limited time, and
// counts its crash. It returns false if no further endpoint may get the request.
func (j *job) countCrash() bool {
	if check := j.crashCheck; check != nil {
		j.crashCheck = nil
		j.awaitProgress(check.done, crash.MaxHoldTime)
		select {
		case <-check.done:
			if check.crashed {
				j.crashes++
			}
		default:
		}
	}
	return j.crashes < crash.MaxCrashes
}

// checkCrashes checks endpoints whose connections broke, until ctx ends.
func (g *Gateway) checkCrashes(ctx context.Context) {
	for {
		select {
		case e := <-g.broken:
			g.wg.Go(func() { g.checkCrash(ctx, e) })
		case <-ctx.Done():
			return
		}
	}
}

// checkCrash finds out whether an endpoint has crashed, and reports it to all gateways. The end of one that is leaving is
// planned.
func (g *Gateway) checkCrash(ctx context.Context, e fleet.Endpoint) {
	began := time.Now()
	refused := exchange.RefusesConnections(ctx, e.Address, endpointConnectTimeout)
	planned := !g.view.Load().serves(e) || g.placer.departs(e)
	crashed := refused && !planned && g.confirmCrash(ctx, e, began)
	report := g.crashes.endCheck(time.Now(), crash.Endpoint{ID: e.ID, Born: e.Born}, crashed)
	g.log.Info().Str("endpoint", e.ID).Int64("born", e.Born).Str("address", e.Address).Bool("refused", refused).Bool("crashed", crashed).Bool("planned", planned).
		Strs("suspects", formatPrompts(report.Prompts)).Msg("connections to endpoint broke")
}

// departs reports whether an endpoint announced to any gateway of the region that it is leaving.
func (p *placer) departs(e fleet.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.departures.Contains(e.ID, e.Born)
}

// serves reports whether an incarnation of an endpoint of this region is listed as ready, with no time at which it ends.
func (v *view) serves(e fleet.Endpoint) bool {
	for _, listed := range v.endpoints[e.Service] {
		if listed.ID == e.ID {
			return listed.Born == e.Born && listed.TerminatesAt.IsZero()
		}
	}
	return false
}

// formatPrompts returns the parts of each prompt in hexadecimal, joined by plus signs.
func formatPrompts(prompts []crash.Prompt) []string {
	var all []string
	for _, p := range prompts {
		all = append(all, formatParts(p))
	}
	return all
}

func formatParts(parts []crash.Part) string {
	var all []string
	for _, part := range parts {
		all = append(all, part.String())
	}
	return strings.Join(all, "+")
}

// logSignatures logs the prompts that are blocked if they have changed since the last call, which returned logged.
func (g *Gateway) logSignatures(now time.Time, logged string) string {
	signatures := g.crashes.signatures(now)
	list := zerolog.Arr()
	var all []string
	for _, s := range signatures {
		list = list.Str(formatParts(s.Parts))
		all = append(all, formatParts(s.Parts))
	}
	current := strings.Join(all, ",")
	if current != logged {
		g.log.Warn().Array("parts", list).Int("crashes", g.crashes.known()).Msg("blocked requests changed")
	}
	return current
}

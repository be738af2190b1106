package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/metrics"
	"arbutusreel/operator"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Header fields of callers' requests.
const (
	classHeader       = "Arbutusreel-Class"
	labelsHeader      = "Arbutusreel-Labels"
	epochHeader       = "Arbutusreel-Epoch"
	keyHeader         = "Idempotency-Key"
	correlationHeader = "X-Correlation-Id"
)

// retryAfterStopping is the delay after which a caller may retry a request at another entry.
const retryAfterStopping = time.Second

// callerHandler returns the handler of the HTTP server for callers and operators, with health checks and metrics.
func (n *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", n.authenticated(n.listEntries))
	mux.HandleFunc("GET /v1/models", n.authenticated(n.listModels))
	mux.HandleFunc("POST /v1/chat/completions", n.authenticated(n.serveChat))
	mux.HandleFunc("POST /v1/completions", n.authenticated(n.serveText))
	mux.HandleFunc("/v1/services/{service}/{path...}", n.authenticated(n.serveCall))
	authorizer := operator.NewAuthorizer(n.cfg.OperatorTokenDigest, n.cfg.MaxBodyBytes)
	mux.HandleFunc("GET /v1/repair", authorizer.Handle(n.listDoubtful))
	mux.HandleFunc("POST /v1/repair", authorizer.Handle(n.settleDoubtful))
	mux.HandleFunc(operator.WhereRoute, authorizer.HandleJSON(n.explainRequest))
	mux.HandleFunc(operator.DecisionsRoute, authorizer.Handle(operator.Decisions(n.cfg.Decisions)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.writeReadiness)
	mux.HandleFunc("GET /debug/vars", metrics.Handler)
	mux.HandleFunc("/", n.unknownRoute(mux))
	return n.middleware(mux)
}

// writeReadiness replies with the revision in force, its source, and whether the entry is ready for callers.
func (n *Entry) writeReadiness(w http.ResponseWriter, _ *http.Request) {
	n.state.mu.Lock()
	revision, source := n.state.revision, n.state.source
	n.state.mu.Unlock()
	status := http.StatusOK
	if !n.ready() {
		status = http.StatusServiceUnavailable
	}
	writeReply(w, status, &wiregen.ReadyReply{Revision: revision, Source: source, Leaving: n.leaving.Load(), LedgerFatalDomain: n.domains.fatalDomain()})
}

// caller is the context of an authenticated request: the team, the inventory in force and the correlation ID.
type caller struct {
	team          inventory.Team
	inventory     *inventory.Inventory
	correlationID string
}

// authenticated wraps a handler: it counts the request as in progress, authenticates it, and passes its team on.
func (n *Entry) authenticated(handle func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		n.metrics.Begin()
		defer n.metrics.End()
		c := caller{correlationID: correlationID(r.Context())}
		if n.closed.Load() {
			n.fail(w, c, unknownOutcomeIfKeyed(idempotencyKey(r), n.stopping()))
			return
		}
		var err error
		if c.inventory, c.team, err = n.authenticate(r); err != nil {
			n.fail(w, c, unknownOutcomeIfKeyed(idempotencyKey(r), err))
			return
		}
		handle(w, r, c)
	}
}

// authenticate returns the inventory in force and the team to which the bearer token of the request belongs.
func (n *Entry) authenticate(r *http.Request) (*inventory.Inventory, inventory.Team, error) {
	inv, _ := n.state.Inventory()
	if inv == nil {
		return nil, inventory.Team{}, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", n.cfg.Self.Name).WithRetryAfter(retryAfterStopping)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, inventory.Team{}, problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the request has no bearer token")
	}
	digest := sha256.Sum256([]byte(token))
	team, ok := inv.TeamByCredential(hex.EncodeToString(digest[:]))
	if !ok {
		return nil, inventory.Team{}, problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the token belongs to no team")
	}
	return inv, team, nil
}

// fail logs a failure, without any content of the request, and replies with its problem.
func (n *Entry) fail(w http.ResponseWriter, c caller, err error) {
	p := problem.From(err)
	n.logFailure(c, p, err)
	n.setWriteTimeout(w)
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	problem.Write(w, p, c.correlationID)
}

func (n *Entry) logFailure(c caller, p *problem.Problem, err error) {
	n.metrics.Count(string(p.Code))
	event := n.log.Info()
	if p.Code == problem.Internal {
		event = n.log.Error().Err(err)
	}
	event.Str("correlationId", c.correlationID).
		Str("team", c.team.Name).
		Str("code", string(p.Code)).
		Str("outcome", string(p.Outcome)).
		Int("status", p.Status).
		Msg("failed")
}

// readBody reads the body of a request up to the maximum size and clears the read deadline that middleware has set.
func (n *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, n.cfg.MaxBodyBytes))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, problem.New(problem.BodyTimeout, http.StatusRequestTimeout, "the request body was not received within %s", n.cfg.BodyTimeout)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "a body must have at most %d bytes", n.cfg.MaxBodyBytes)
	}
	if err != nil {
		return nil, problem.New(problem.MalformedRequest, http.StatusBadRequest, "the body cannot be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return b, nil
}

// class returns the class that the request names, or the team's default class.
func (c caller) class(r *http.Request) (inventory.Class, error) {
	name := r.Header.Get(classHeader)
	if name == "" {
		name = c.team.DefaultClass
	}
	class, ok := c.inventory.Class(name)
	if !ok {
		return inventory.Class{}, problem.New(problem.UnknownClass, http.StatusBadRequest, "no class has the name %q", name)
	}
	if name != c.team.DefaultClass && !slices.Contains(c.team.Classes, name) {
		return inventory.Class{}, problem.New(problem.Forbidden, http.StatusForbidden, "team %q may not use class %q", c.team.Name, name)
	}
	return class, nil
}

// labels returns the labels of the team and those that the request adds.
func (c caller) labels(r *http.Request) ([]string, error) {
	labels := slices.Clone(c.team.Labels)
	for name := range strings.SplitSeq(r.Header.Get(labelsHeader), ",") {
		name = strings.TrimSpace(name)
		if name == "" || slices.Contains(labels, name) {
			continue
		}
		if _, ok := c.inventory.Label(name); !ok {
			return nil, problem.New(problem.UnknownLabel, http.StatusBadRequest, "no label has the name %q", name)
		}
		labels = append(labels, name)
	}
	return labels, nil
}

// listEntries replies with the entries that the caller may use: those of its home region or, if there are none, all to
// which its data may be sent. Leaving ones are listed only if the others are leaving too.
func (n *Entry) listEntries(w http.ResponseWriter, _ *http.Request, c caller) {
	live := allowedEntries(c.inventory, c.team, n.state.live())
	home := slices.DeleteFunc(slices.Clone(live), func(e membership.Entry) bool { return e.Region != c.team.HomeRegion })
	if len(home) == 0 {
		home = live
	}
	writeReply(w, http.StatusOK, &wiregen.EntriesReply{
		Entries:   wire.EncodeEntries(staying(home)),
		Epoch:     n.epochToken(c.team.HomeRegion),
		TtlMillis: entryListTTL.Milliseconds(),
	})
}

// staying returns the entries that are not leaving, or all if every one is: they serve until their notice has passed, and
// an entry that has just started may still be known as leaving.
func staying(entries []membership.Entry) []membership.Entry {
	if others := slices.DeleteFunc(slices.Clone(entries), func(e membership.Entry) bool { return e.Leaving }); len(others) > 0 {
		return others
	}
	return entries
}

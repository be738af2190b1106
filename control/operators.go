package control

import (
	"expvar"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"arbutusreel/operator"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// operatorHandler serves operators and health.
func (c *Control) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	guard := operator.NewGuard(c.cfg.OperatorTokenDigest, c.cfg.MaxInventoryBytes)
	mux.HandleFunc("POST /v1/inventory", guard.Handle(c.apply))
	mux.HandleFunc("POST /v1/patch", guard.Handle(c.patch))
	mux.HandleFunc("GET /v1/inventory", guard.Handle(c.get))
	mux.HandleFunc("GET /v1/history", guard.Handle(c.tellHistory))
	mux.HandleFunc("GET /v1/status", guard.Handle(c.status))
	mux.HandleFunc("GET /v1/members", guard.Handle(c.members))
	mux.HandleFunc("POST /v1/members/add", guard.Handle(c.addMember))
	mux.HandleFunc("POST /v1/members/remove", guard.Handle(c.removeMember))
	mux.HandleFunc("GET /v1/entries", guard.Handle(c.listEntries))
	mux.HandleFunc(operator.DecisionsRoute, guard.Handle(operator.Decisions(c.cfg.Decisions)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", c.ready)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// decode reads a request's JSON into m.
func (c *Control) decode(r *http.Request, m proto.Message) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "a request has at most %d bytes", c.cfg.MaxInventoryBytes)
	}
	if err := wire.DecodeJSON(b, m); err != nil {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	return nil
}

// status answers the leader and the revision in force at each instance; a
// voter that is not known to be current answers what it knows, and says so.
func (c *Control) status(r *http.Request) (proto.Message, error) {
	err := c.store.Confirm(r.Context())
	known := c.store.Status()
	reply := &wiregen.StatusReply{
		Name: c.cfg.Name, Leader: known.Leader.Name, Term: known.Term, Revision: c.store.Current().Revision,
		Members: memberStatuses(known.Members), Current: err == nil,
	}
	for _, i := range c.askVoters(r.Context()).instances {
		reply.Instances = append(reply.Instances, &wiregen.InstanceStatus{
			Name: i.Name, Region: i.Region, Revision: i.Revision,
			AgeMillis: c.now().Sub(i.At).Milliseconds(),
			LagMillis: c.lag(i).Milliseconds(), LedgerFatalDomain: i.LedgerFatalDomain,
		})
	}
	return reply, nil
}

func (c *Control) ready(w http.ResponseWriter, _ *http.Request) {
	if c.store.Status().Leader.Name == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, "\n")
}

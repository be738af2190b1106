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

// operatorHandler returns the HTTP handler for operators and health checks.
func (c *Control) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	authorizer := operator.NewAuthorizer(c.cfg.OperatorTokenDigest, c.cfg.MaxInventoryBytes)
	mux.HandleFunc("POST /v1/inventory", authorizer.Handle(c.applyInventory))
	mux.HandleFunc("POST /v1/patch", authorizer.Handle(c.patchInventory))
	mux.HandleFunc("GET /v1/inventory", authorizer.Handle(c.getInventory))
	mux.HandleFunc("GET /v1/history", authorizer.Handle(c.listHistory))
	mux.HandleFunc("GET /v1/status", authorizer.Handle(c.status))
	mux.HandleFunc("GET /v1/members", authorizer.Handle(c.listMembers))
	mux.HandleFunc("POST /v1/members/add", authorizer.Handle(c.addMember))
	mux.HandleFunc("POST /v1/members/remove", authorizer.Handle(c.removeMember))
	mux.HandleFunc("GET /v1/entries", authorizer.Handle(c.listEntries))
	mux.HandleFunc(operator.DecisionsRoute, authorizer.Handle(operator.Decisions(c.cfg.Decisions)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", c.ready)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// decode reads the JSON body of a request into m.
func (c *Control) decode(r *http.Request, m proto.Message) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "a request must have at most %d bytes", c.cfg.MaxInventoryBytes)
	}
	if err := wire.DecodeJSON(b, m); err != nil {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	return nil
}

// status returns the leader and the revision in force at each instance. A voter that cannot confirm that it is
// current returns its known state with Current false.
func (c *Control) status(r *http.Request) (proto.Message, error) {
	err := c.store.Confirm(r.Context())
	quorumStatus := c.store.Status()
	reply := &wiregen.StatusReply{
		Name: c.cfg.Name, Leader: quorumStatus.Leader.Name, Term: quorumStatus.Term, Revision: c.store.Current().Revision,
		Members: memberStatuses(quorumStatus.Members), Current: err == nil,
	}
	for _, i := range c.queryVoters(r.Context()).instances {
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

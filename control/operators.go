package control

import (
	"expvar"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/operator"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// operatorHandler serves operators and health.
func (c *Control) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/inventory", c.operator(c.apply))
	mux.HandleFunc("GET /v1/inventory", c.operator(c.get))
	mux.HandleFunc("GET /v1/status", c.operator(c.status))
	mux.HandleFunc("GET /v1/members", c.operator(c.members))
	mux.HandleFunc("POST /v1/members/add", c.operator(c.addMember))
	mux.HandleFunc("POST /v1/members/remove", c.operator(c.removeMember))
	mux.HandleFunc("GET /v1/entries", c.operator(c.listEntries))
	mux.HandleFunc("GET /v1/decisions/{kind}/{name}", c.operator(c.decisions))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", c.ready)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// operator passes on a request that bears the operators' token.
func (c *Control) operator(handle func(*http.Request) (proto.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := operator.Authorize(r, c.cfg.OperatorTokenDigest); err != nil {
			problem.Write(w, problem.From(err), "")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, c.cfg.MaxInventoryBytes)
		reply, err := handle(r)
		if err != nil {
			problem.Write(w, problem.From(err), "")
			return
		}
		writeMessage(w, reply)
	}
}

func writeMessage(w http.ResponseWriter, m proto.Message) {
	b, err := wire.EncodeJSON(m)
	if err != nil {
		problem.Write(w, problem.From(err), "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
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

// apply proposes a change of the inventory.
func (c *Control) apply(r *http.Request) (proto.Message, error) {
	m := &wiregen.ApplyRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	if m.GetChangeId() == "" {
		return nil, problem.New(problem.MalformedRequest, http.StatusBadRequest, "field %q is required", "changeId")
	}
	inv, err := wire.DecodeInventory(m.GetInventory())
	if err != nil {
		return nil, problem.New(problem.InvalidInventory, http.StatusUnprocessableEntity, "%s", err.Error())
	}
	answer, err := c.store.Propose(r.Context(), configuration.Change{ID: m.GetChangeId(), Expected: m.GetExpectedRevision(), Inventory: inv})
	if err != nil {
		return nil, err
	}
	c.log.Info().Str("changeId", m.GetChangeId()).Int64("expectedRevision", m.GetExpectedRevision()).
		Bool("accepted", answer.Accepted).Int64("revision", answer.Revision).Msg("changeDecided")
	if !answer.Accepted {
		return nil, problem.New(problem.RevisionConflict, http.StatusConflict, "revision %d is in force, not %d", answer.Revision, m.GetExpectedRevision())
	}
	return &wiregen.ApplyReply{Revision: answer.Revision}, nil
}

// get answers the inventory in force, from the leader alone.
func (c *Control) get(r *http.Request) (proto.Message, error) {
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	current := c.store.Current()
	reply := &wiregen.InventoryReply{Revision: current.Revision}
	if current.Inventory != nil {
		reply.Inventory = wire.EncodeInventory(current.Inventory)
	}
	return reply, nil
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

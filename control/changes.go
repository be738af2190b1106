package control

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// apply proposes another inventory.
func (c *Control) apply(r *http.Request) (proto.Message, error) {
	m := &wiregen.ApplyRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	if err := checkChangeID(m.GetChangeId()); err != nil {
		return nil, err
	}
	inv, err := wire.DecodeInventory(m.GetInventory())
	if err != nil {
		return nil, invalidInventory(err)
	}
	c.changing.RLock()
	defer c.changing.RUnlock()
	change := configuration.Change{
		ID: m.GetChangeId(), Expected: m.GetExpectedRevision(), Inventory: inv, Operator: m.GetOperator(), At: c.now(),
	}
	answer, err := c.store.Propose(r.Context(), change)
	return c.decided(change, answer, err)
}

// patch proposes the inventory in force with parts of it changed.
func (c *Control) patch(r *http.Request) (proto.Message, error) {
	m := &wiregen.PatchRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	if err := checkChangeID(m.GetChangeId()); err != nil {
		return nil, err
	}
	c.changing.Lock()
	defer c.changing.Unlock()
	ctx := r.Context()
	if err := c.store.Confirm(ctx); err != nil {
		return nil, err
	}
	change := configuration.Change{ID: m.GetChangeId(), Expected: m.GetExpectedRevision(), Operator: m.GetOperator(), At: c.now()}
	if answer, ok, err := c.store.Answered(ctx, change.ID); ok || err != nil {
		return c.decided(change, answer, err)
	}
	change, err := c.patched(change, wire.DecodePatch(m))
	if err != nil {
		return nil, err
	}
	answer, err := c.store.Propose(ctx, change)
	return c.decided(change, answer, err)
}

// patched returns the change with the patched inventory; without an expected revision it expects the one in force.
func (c *Control) patched(change configuration.Change, p inventory.Patch) (configuration.Change, error) {
	current := c.store.Current()
	if change.Expected == 0 {
		change.Expected = current.Revision
	}
	inForce := current.Inventory
	if inForce == nil {
		inForce = &inventory.Inventory{}
	}
	inv, err := inForce.WithPatch(p)
	if err != nil {
		return change, invalidInventory(err)
	}
	change.Inventory = inv
	return change, nil
}

func checkChangeID(id string) error {
	if id == "" {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "field %q is required", "changeId")
	}
	return nil
}

func invalidInventory(err error) error {
	return problem.New(problem.InvalidInventory, http.StatusUnprocessableEntity, "%s", err.Error())
}

// decided logs the decision on a change and returns its answer; a refusal is a *problem.Problem.
func (c *Control) decided(change configuration.Change, answer configuration.Answer, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	c.log.Info().Str("changeId", change.ID).Str("operator", change.Operator).Int64("expectedRevision", change.Expected).
		Bool("accepted", answer.Accepted).Int64("revision", answer.Revision).Msg("changeDecided")
	if !answer.Accepted {
		return nil, problem.New(problem.RevisionConflict, http.StatusConflict, "revision %d is in force, not %d", answer.Revision, change.Expected)
	}
	return &wiregen.ApplyReply{Revision: answer.Revision}, nil
}

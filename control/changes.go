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

// applyInventory proposes a whole inventory as the next revision.
func (c *Control) applyInventory(r *http.Request) (proto.Message, error) {
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
	c.inventoryMu.RLock()
	defer c.inventoryMu.RUnlock()
	change := configuration.Change{
		ID: m.GetChangeId(), Expected: m.GetExpectedRevision(), Inventory: inv, Operator: m.GetOperator(), At: c.now(),
	}
	answer, err := c.store.Propose(r.Context(), change)
	return c.reportDecision(change, answer, err)
}

// patchInventory proposes the inventory in force with a patch applied.
func (c *Control) patchInventory(r *http.Request) (proto.Message, error) {
	m := &wiregen.PatchRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	if err := checkChangeID(m.GetChangeId()); err != nil {
		return nil, err
	}
	c.inventoryMu.Lock()
	defer c.inventoryMu.Unlock()
	ctx := r.Context()
	if err := c.store.Confirm(ctx); err != nil {
		return nil, err
	}
	change := configuration.Change{ID: m.GetChangeId(), Expected: m.GetExpectedRevision(), Operator: m.GetOperator(), At: c.now()}
	if answer, ok, err := c.store.RecordedAnswer(ctx, change.ID); ok || err != nil {
		return c.reportDecision(change, answer, err)
	}
	change, err := c.withPatch(change, wire.DecodePatch(m))
	if err != nil {
		return nil, err
	}
	answer, err := c.store.Propose(ctx, change)
	return c.reportDecision(change, answer, err)
}

// withPatch returns the change with the patched inventory. A change without an expected revision expects the revision
// in force.
func (c *Control) withPatch(change configuration.Change, p inventory.Patch) (configuration.Change, error) {
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

// reportDecision logs the decision on a change and returns the reply; a refused change returns a *problem.Problem.
func (c *Control) reportDecision(change configuration.Change, answer configuration.Answer, err error) (proto.Message, error) {
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

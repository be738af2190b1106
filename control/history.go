package control

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Parameters of operators' requests.
const (
	revisionParameter = "revision"
	countParameter    = "count"
)

// defaultHistory is the number of changes that are told if no other number is asked for.
const defaultHistory = 20

// get answers the inventory in force, or that of an earlier revision, from the leader alone.
func (c *Control) get(r *http.Request) (proto.Message, error) {
	asked, err := numberOf(r, revisionParameter, 0)
	if err != nil {
		return nil, err
	}
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	current := c.store.Current()
	if asked != 0 && asked != current.Revision {
		return c.inventoryAt(r.Context(), asked, current.Revision)
	}
	reply := &wiregen.InventoryReply{Revision: current.Revision}
	if current.Inventory != nil {
		reply.Inventory = wire.EncodeInventory(current.Inventory)
	}
	return reply, nil
}

// inventoryAt answers the inventory of an earlier revision.
func (c *Control) inventoryAt(ctx context.Context, revision, inForce int64) (proto.Message, error) {
	history, whole, err := c.store.History(ctx)
	if err != nil {
		return nil, err
	}
	b, err := history.At(revision, whole)
	if err != nil {
		return nil, historyProblem(err)
	}
	reply := &wiregen.InventoryReply{Revision: revision, InForce: inForce, Inventory: &wiregen.Inventory{}}
	if err := proto.Unmarshal(b, reply.Inventory); err != nil {
		return nil, &RecordError{Record: "inventory", Cause: err}
	}
	return reply, nil
}

// historyProblem returns the problem of a revision that cannot be told.
func historyProblem(err error) error {
	var forgotten *configuration.ForgottenRevisionError
	if errors.As(err, &forgotten) {
		return problem.New(problem.UnknownRevision, http.StatusNotFound, "%s", err.Error())
	}
	return err
}

// tellHistory answers the newest accepted changes with what they changed, from the leader alone.
func (c *Control) tellHistory(r *http.Request) (proto.Message, error) {
	count, err := numberOf(r, countParameter, defaultHistory)
	if err != nil {
		return nil, err
	}
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	history, whole, err := c.store.History(r.Context())
	if err != nil {
		return nil, err
	}
	records := history.Records()
	reply := &wiregen.HistoryReply{}
	for i := len(records) - 1; i >= 0 && int64(len(reply.Records)) < count; i-- {
		before, err := records[i].Undo.Apply(whole)
		if err != nil {
			return nil, err
		}
		m, err := historyRecord(records[i], before, whole)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, m)
		whole = before
	}
	return reply, nil
}

// historyRecord returns the message of a change from one encoded inventory to another.
func historyRecord(r configuration.Record, before, after []byte) (*wiregen.HistoryRecord, error) {
	old, next := &wiregen.Inventory{}, &wiregen.Inventory{}
	if err := errors.Join(proto.Unmarshal(before, old), proto.Unmarshal(after, next)); err != nil {
		return nil, &RecordError{Record: "inventory", Cause: err}
	}
	m := &wiregen.HistoryRecord{Revision: r.Revision, ChangeId: r.ChangeID, Operator: r.Operator, UnixMillis: r.At.UnixMilli()}
	for _, d := range wire.Differences(old, next) {
		m.Changes = append(m.Changes, &wiregen.ValueChange{Path: d.Path, Before: d.Before, After: d.After})
	}
	return m, nil
}

// numberOf returns a parameter that is a whole number above zero, or what it is without the parameter.
func numberOf(r *http.Request, name string, without int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return without, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, problem.New(problem.MalformedRequest, http.StatusBadRequest, "parameter %q: %q is not a whole number above zero", name, text)
	}
	return n, nil
}

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

// Query parameters of operators' requests.
const (
	revisionParameter = "revision"
	countParameter    = "count"
)

// defaultHistoryCount is the number of changes returned if the request does not give one.
const defaultHistoryCount = 20

// getInventory returns the inventory in force, or that of an earlier revision. Only the leader answers.
func (c *Control) getInventory(r *http.Request) (proto.Message, error) {
	requested, err := positiveParameter(r, revisionParameter, 0)
	if err != nil {
		return nil, err
	}
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	current := c.store.Current()
	if requested != 0 && requested != current.Revision {
		return c.inventoryAt(r.Context(), requested, current.Revision)
	}
	reply := &wiregen.InventoryReply{Revision: current.Revision}
	if current.Inventory != nil {
		reply.Inventory = wire.EncodeInventory(current.Inventory)
	}
	return reply, nil
}

// inventoryAt returns the inventory of an earlier revision.
func (c *Control) inventoryAt(ctx context.Context, revision, inForce int64) (proto.Message, error) {
	history, encoded, err := c.store.History(ctx)
	if err != nil {
		return nil, err
	}
	b, err := history.At(revision, encoded)
	if err != nil {
		return nil, historyProblem(err)
	}
	reply := &wiregen.InventoryReply{Revision: revision, InForce: inForce, Inventory: &wiregen.Inventory{}}
	if err := proto.Unmarshal(b, reply.Inventory); err != nil {
		return nil, &RecordError{Record: "inventory", Cause: err}
	}
	return reply, nil
}

// historyProblem converts the error for a revision that is no longer in the history to a *problem.Problem.
func historyProblem(err error) error {
	var unknown *configuration.EvictedRevisionError
	if errors.As(err, &unknown) {
		return problem.New(problem.UnknownRevision, http.StatusNotFound, "%s", err.Error())
	}
	return err
}

// listHistory returns the newest accepted changes with the values they changed. Only the leader answers.
func (c *Control) listHistory(r *http.Request) (proto.Message, error) {
	count, err := positiveParameter(r, countParameter, defaultHistoryCount)
	if err != nil {
		return nil, err
	}
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	history, encoded, err := c.store.History(r.Context())
	if err != nil {
		return nil, err
	}
	records := history.Records()
	reply := &wiregen.HistoryReply{}
	for i := len(records) - 1; i >= 0 && int64(len(reply.Records)) < count; i-- {
		before, err := records[i].Undo.Apply(encoded)
		if err != nil {
			return nil, err
		}
		m, err := historyRecord(records[i], before, encoded)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, m)
		encoded = before
	}
	return reply, nil
}

// historyRecord returns the message for a change, with the differences between the encoded inventories before and
// after.
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

// positiveParameter returns the value of a query parameter, which must be a positive integer, or fallback if it is
// absent.
func positiveParameter(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, problem.New(problem.MalformedRequest, http.StatusBadRequest, "parameter %q: %q is not a whole number above zero", name, text)
	}
	return n, nil
}

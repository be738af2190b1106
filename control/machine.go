package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/distribution"
	"arbutusreel/fleet"
	"arbutusreel/inventory"
	"arbutusreel/relay"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// stateMachine is the replicated state: the configuration, its history, the encoded inventory in force, the operators'
// orders and the departures of endpoints.
type stateMachine struct {
	state            *configuration.State
	history          *configuration.History
	encodedInventory []byte
	orders           configuration.Orders
	departures       fleet.DepartureLog
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: configuration.NewState(), history: &configuration.History{}}
}

// encodeCommand encodes a change as a command. The command contains a delta if the change expects the given revision,
// whose encoded inventory is passed along, and otherwise the whole inventory.
func encodeCommand(c configuration.Change, revision int64, encoded []byte) []byte {
	m := &wiregen.ChangeCommand{ChangeId: c.ID, ExpectedRevision: c.Expected, Operator: c.Operator, UnixMillis: c.At.UnixMilli()}
	next := marshal(wire.EncodeInventory(c.Inventory))
	if c.Expected == revision && revision > 0 {
		m.Delta = relay.EncodeDelta(distribution.NewDelta(revision+1, encoded, next))
	} else {
		m.Inventory = next
	}
	return marshal(m)
}

// apply decides the change in the command of the log entry at an index. The inventory was validated before it was proposed. Its validity does not
// enter the decision here, so that voters of different versions reach the same result. A command that cannot be
// decoded, or a delta that does not match, returns *RecordError: the state then differs from that of the other
// voters.
func (m *stateMachine) apply(index int64, command []byte) (configuration.Answer, error) {
	c := &wiregen.ChangeCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return configuration.Answer{}, &RecordError{Record: "change", Cause: err}
	}
	if c.GetFleet() != nil {
		m.orders = applyOrder(index, m.orders, c.GetFleet())
		if d := c.GetFleet().GetDeparture(); d != nil {
			m.departures = m.departures.With(decodeDeparture(d))
		}
		return configuration.Answer{Accepted: true, Revision: m.state.Revision()}, nil
	}
	if m.decidedWithoutInventory(c) {
		return m.state.Apply(configuration.Change{ID: c.GetChangeId(), Expected: c.GetExpectedRevision()}), nil
	}
	encoded := c.GetInventory()
	if c.GetDelta() != nil {
		var err error
		if encoded, err = relay.DecodeDelta(c.GetDelta()).Apply(m.encodedInventory); err != nil {
			return configuration.Answer{}, &RecordError{Record: "change", Cause: err}
		}
	}
	before := m.encodedInventory
	m.encodedInventory = encoded
	inv, err := decodeInventory(encoded)
	answer := m.state.Apply(configuration.Change{ID: c.GetChangeId(), Expected: c.GetExpectedRevision(), Inventory: inv})
	m.history.Add(configuration.Record{
		Revision: answer.Revision,
		ChangeID: c.GetChangeId(),
		Operator: c.GetOperator(),
		At:       time.UnixMilli(c.GetUnixMillis()),
		Undo:     distribution.NewDelta(answer.Revision-1, encoded, before),
	})
	return answer, m.inventoryError(err)
}

// decidedWithoutInventory reports whether the answer to a command does not depend on its inventory, as for a resend
// or a revision conflict.
func (m *stateMachine) decidedWithoutInventory(c *wiregen.ChangeCommand) bool {
	_, answered := m.state.Answer(c.GetChangeId())
	return answered || c.GetExpectedRevision() != m.state.Revision()
}

// inventoryError wraps a non-nil err in *InventoryRefusedError, which the event loop logs and tolerates.
func (m *stateMachine) inventoryError(err error) error {
	if err == nil {
		return nil
	}
	return &InventoryRefusedError{Revision: m.state.Revision(), Cause: err}
}

func decodeInventory(encoded []byte) (*inventory.Inventory, error) {
	m := &wiregen.Inventory{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return nil, &RecordError{Record: "inventory", Cause: err}
	}
	return wire.DecodeInventory(m)
}

// snapshot returns the encoded state; equal states have equal encodings.
func (m *stateMachine) snapshot() []byte {
	s := &wiregen.ConfigurationSnapshot{Revision: m.state.Revision(), Inventory: m.encodedInventory}
	for _, answer := range m.state.Answers() {
		s.Answers = append(s.Answers, &wiregen.ChangeAnswer{ChangeId: answer.ID, Accepted: answer.Answer.Accepted, Revision: answer.Answer.Revision})
	}
	for _, r := range m.history.Records() {
		s.Records = append(s.Records, &wiregen.ChangeRecord{
			Revision: r.Revision, ChangeId: r.ChangeID, Operator: r.Operator, UnixMillis: r.At.UnixMilli(), Undo: relay.EncodeDelta(r.Undo),
		})
	}
	s.Fleet = encodeFleet(m.orders, m.departures)
	return marshal(s)
}

// restoreStateMachine decodes the state of a snapshot that includes the log up to an index. A snapshot that cannot be decoded returns *RecordError; one
// whose inventory this version refuses returns the state and *InventoryRefusedError.
func restoreStateMachine(index int64, snapshot []byte) (*stateMachine, error) {
	s := &wiregen.ConfigurationSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return nil, &RecordError{Record: "configuration snapshot", Cause: err}
	}
	answers := make([]configuration.KnownAnswer, 0, len(s.GetAnswers()))
	for _, a := range s.GetAnswers() {
		answers = append(answers, configuration.KnownAnswer{
			ID: a.GetChangeId(), Answer: configuration.Answer{Accepted: a.GetAccepted(), Revision: a.GetRevision()},
		})
	}
	records := make([]configuration.Record, 0, len(s.GetRecords()))
	for _, r := range s.GetRecords() {
		records = append(records, configuration.Record{
			Revision: r.GetRevision(), ChangeID: r.GetChangeId(), Operator: r.GetOperator(),
			At: time.UnixMilli(r.GetUnixMillis()), Undo: relay.DecodeDelta(r.GetUndo()),
		})
	}
	var inv *inventory.Inventory
	var err error
	if s.GetRevision() > 0 {
		inv, err = decodeInventory(s.GetInventory())
	}
	m := &stateMachine{
		state:            configuration.RestoreState(s.GetRevision(), inv, answers),
		history:          configuration.RestoreHistory(records),
		encodedInventory: s.GetInventory(),
		orders:           decodeOrders(index, s.GetFleet()),
		departures:       decodeDepartures(s.GetFleet()),
	}
	return m, m.inventoryError(err)
}

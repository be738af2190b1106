package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/distribution"
	"arbutusreel/inventory"
	"arbutusreel/relay"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// machine is the replicated state: the configuration and the encoded inventory in force.
type machine struct {
	state   *configuration.State
	history *configuration.History
	whole   []byte
	orders  configuration.Orders
}

func newMachine() *machine {
	return &machine{state: configuration.NewState(), history: &configuration.History{}}
}

// encodeCommand returns the command of a change: a delta if it expects the
// revision whose inventory is given, and else the whole.
func encodeCommand(c configuration.Change, revision int64, whole []byte) []byte {
	m := &wiregen.ChangeCommand{ChangeId: c.ID, ExpectedRevision: c.Expected, Operator: c.Operator, UnixMillis: c.At.UnixMilli()}
	next := marshal(wire.EncodeInventory(c.Inventory))
	if c.Expected == revision && revision > 0 {
		m.Delta = relay.EncodeDelta(distribution.NewDelta(revision+1, whole, next))
	} else {
		m.Inventory = next
	}
	return marshal(m)
}

// apply decides the change of a command. Whether an inventory is valid was
// checked before it was proposed; here it plays no part in the decision, so
// that voters of different versions decide alike. A command that cannot be
// read, or a delta that does not fit, returns *RecordError: the state is then
// not that of the other voters.
func (m *machine) apply(command []byte) (configuration.Answer, error) {
	c := &wiregen.ChangeCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return configuration.Answer{}, &RecordError{Record: "change", Cause: err}
	}
	if c.GetFleet() != nil {
		m.orders = applyOrder(m.orders, c.GetFleet())
		return configuration.Answer{Accepted: true, Revision: m.state.Revision()}, nil
	}
	if m.decides(c) {
		return m.state.Apply(configuration.Change{ID: c.GetChangeId(), Expected: c.GetExpectedRevision()}), nil
	}
	whole := c.GetInventory()
	if c.GetDelta() != nil {
		var err error
		if whole, err = relay.DecodeDelta(c.GetDelta()).Apply(m.whole); err != nil {
			return configuration.Answer{}, &RecordError{Record: "change", Cause: err}
		}
	}
	before := m.whole
	m.whole = whole
	inv, err := decodeInventory(whole)
	answer := m.state.Apply(configuration.Change{ID: c.GetChangeId(), Expected: c.GetExpectedRevision(), Inventory: inv})
	m.history.Add(configuration.Record{
		Revision: answer.Revision,
		ChangeID: c.GetChangeId(),
		Operator: c.GetOperator(),
		At:       time.UnixMilli(c.GetUnixMillis()),
		Undo:     distribution.NewDelta(answer.Revision-1, whole, before),
	})
	return answer, m.refused(err)
}

// decides reports whether the answer to a command is known before its inventory is looked at: a resend or a conflict.
func (m *machine) decides(c *wiregen.ChangeCommand) bool {
	_, answered := m.state.Answer(c.GetChangeId())
	return answered || c.GetExpectedRevision() != m.state.Revision()
}

// refused returns an error that the loop logs and outlives, or nil.
func (m *machine) refused(err error) error {
	if err == nil {
		return nil
	}
	return &InventoryRefusedError{Revision: m.state.Revision(), Cause: err}
}

func decodeInventory(whole []byte) (*inventory.Inventory, error) {
	m := &wiregen.Inventory{}
	if err := proto.Unmarshal(whole, m); err != nil {
		return nil, &RecordError{Record: "inventory", Cause: err}
	}
	return wire.DecodeInventory(m)
}

// snapshot returns the encoded state; equal states have equal encodings.
func (m *machine) snapshot() []byte {
	s := &wiregen.ConfigurationSnapshot{Revision: m.state.Revision(), Inventory: m.whole}
	for _, known := range m.state.Answers() {
		s.Answers = append(s.Answers, &wiregen.ChangeAnswer{ChangeId: known.ID, Accepted: known.Answer.Accepted, Revision: known.Answer.Revision})
	}
	for _, r := range m.history.Records() {
		s.Records = append(s.Records, &wiregen.ChangeRecord{
			Revision: r.Revision, ChangeId: r.ChangeID, Operator: r.Operator, UnixMillis: r.At.UnixMilli(), Undo: relay.EncodeDelta(r.Undo),
		})
	}
	s.Fleet = encodeOrders(m.orders)
	return marshal(s)
}

// restoreMachine returns the state of a snapshot. A snapshot that cannot be read returns *RecordError; one with an
// inventory that this version refuses returns the state and *InventoryRefusedError.
func restoreMachine(snapshot []byte) (*machine, error) {
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
	m := &machine{
		state:   configuration.RestoreState(s.GetRevision(), inv, answers),
		history: configuration.RestoreHistory(records),
		whole:   s.GetInventory(),
		orders:  decodeOrders(s.GetFleet()),
	}
	return m, m.refused(err)
}

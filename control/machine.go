package control

import (
	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/inventory"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// machine is the replicated state: the configuration and the encoded inventory in force.
type machine struct {
	state *configuration.State
	whole []byte
}

func newMachine() *machine { return &machine{state: configuration.NewState()} }

func encodeCommand(c configuration.Change) []byte {
	return marshal(&wiregen.ChangeCommand{
		ChangeId:         c.ID,
		ExpectedRevision: c.Expected,
		Inventory:        marshal(wire.EncodeInventory(c.Inventory)),
	})
}

// apply decides the change of a command. Whether an inventory is valid was
// checked before it was proposed; here it plays no part in the decision, so
// that voters of different versions decide alike.
func (m *machine) apply(command []byte) (configuration.Answer, error) {
	c := &wiregen.ChangeCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return configuration.Answer{}, &RecordError{Record: "change", Cause: err}
	}
	before := m.state.Revision()
	inv, err := decodeInventory(c.GetInventory())
	answer := m.state.Apply(configuration.Change{ID: c.GetChangeId(), Expected: c.GetExpectedRevision(), Inventory: inv})
	if m.state.Revision() > before {
		m.whole = c.GetInventory()
	}
	return answer, err
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
	return marshal(s)
}

// restoreMachine returns the state of a snapshot; with an inventory that this version refuses, also the error.
func restoreMachine(snapshot []byte) (*machine, error) {
	s := &wiregen.ConfigurationSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return newMachine(), &RecordError{Record: "configuration snapshot", Cause: err}
	}
	answers := make([]configuration.KnownAnswer, 0, len(s.GetAnswers()))
	for _, a := range s.GetAnswers() {
		answers = append(answers, configuration.KnownAnswer{
			ID: a.GetChangeId(), Answer: configuration.Answer{Accepted: a.GetAccepted(), Revision: a.GetRevision()},
		})
	}
	var inv *inventory.Inventory
	var err error
	if s.GetRevision() > 0 {
		inv, err = decodeInventory(s.GetInventory())
	}
	return &machine{state: configuration.RestoreState(s.GetRevision(), inv, answers), whole: s.GetInventory()}, err
}

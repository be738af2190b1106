package wire

import (
	"time"

	"arbutusreel/ledger"
	"arbutusreel/wiregen"
)

// EncodeLedgerRequest returns the message for a request to a ledger replica.
func EncodeLedgerRequest(now time.Time, m ledger.Request) *wiregen.LedgerRequest {
	return &wiregen.LedgerRequest{
		Op:           wiregen.LedgerOp(m.Op),
		Group:        m.Group,
		Epoch:        m.Epoch,
		Call:         EncodeLedgerCall(now, m.Call),
		Ballot:       encodeBallot(m.Ballot),
		Slot:         m.Slot,
		Incarnation:  m.Incarnation,
		Nonce:        m.Nonce,
		AfterTeam:    m.After.Team,
		AfterKey:     m.After.Key,
		DoubtfulOnly: m.DoubtfulOnly,
	}
}

// DecodeLedgerRequest returns the request of a message received at the time now.
func DecodeLedgerRequest(now time.Time, m *wiregen.LedgerRequest) ledger.Request {
	return ledger.Request{
		Op:           ledger.Op(m.GetOp()),
		Group:        m.GetGroup(),
		Epoch:        m.GetEpoch(),
		Call:         DecodeLedgerCall(now, m.GetCall()),
		Ballot:       decodeBallot(m.GetBallot()),
		Slot:         m.GetSlot(),
		Incarnation:  m.GetIncarnation(),
		Nonce:        m.GetNonce(),
		After:        ledger.Key{Team: m.GetAfterTeam(), Key: m.GetAfterKey()},
		DoubtfulOnly: m.GetDoubtfulOnly(),
	}
}

// EncodeLedgerReply returns the message for a replica's reply.
func EncodeLedgerReply(now time.Time, r ledger.Reply) *wiregen.LedgerReply {
	m := &wiregen.LedgerReply{
		Slot:        r.Slot,
		Refusal:     wiregen.LedgerRefusal(r.Refusal),
		Active:      r.Active,
		Epoch:       r.Epoch,
		Nonce:       r.Nonce,
		Incarnation: r.Incarnation,
		Vector:      r.Vector,
		Found:       r.Found,
		More:        r.More,
	}
	if r.Found {
		m.Call = EncodeLedgerCall(now, r.Call)
	}
	for _, call := range r.Page {
		m.Page = append(m.Page, EncodeLedgerCall(now, call))
	}
	return m
}

// DecodeLedgerReply returns the reply of a message received at the time now.
func DecodeLedgerReply(now time.Time, m *wiregen.LedgerReply) ledger.Reply {
	r := ledger.Reply{
		Slot:        m.GetSlot(),
		Refusal:     ledger.Refusal(m.GetRefusal()),
		Active:      m.GetActive(),
		Epoch:       m.GetEpoch(),
		Nonce:       m.GetNonce(),
		Incarnation: m.GetIncarnation(),
		Vector:      m.GetVector(),
		Found:       m.GetFound(),
		Call:        DecodeLedgerCall(now, m.GetCall()),
		More:        m.GetMore(),
	}
	for _, call := range m.GetPage() {
		r.Page = append(r.Page, DecodeLedgerCall(now, call))
	}
	return r
}

// EncodeLedgerCall returns the message for a call; the time of its claim is sent as the age at the time now.
func EncodeLedgerCall(now time.Time, c ledger.Record) *wiregen.LedgerCall {
	return &wiregen.LedgerCall{
		Team:        c.Key.Team,
		Key:         c.Key.Key,
		Digest:      c.Digest,
		Service:     c.Service,
		Attempt:     c.Attempt,
		Owner:       c.Owner,
		AgeMillis:   now.Sub(c.ClaimedAt).Milliseconds(),
		LeaseMillis: c.Lease.Milliseconds(),
		Withdrawn:   c.Withdrawn,
		Promised:    encodeBallot(c.Promised),
		Accepted:    encodeBallot(c.Accepted),
		Ending:      wiregen.LedgerEnding(c.Value.Ending),
		Outcome:     encodeOutcome(c.Value.Outcome),
		EndedBy:     c.Value.By,
		Chosen:      c.Chosen,
	}
}

// DecodeLedgerCall returns the call of a message received at the time now.
func DecodeLedgerCall(now time.Time, m *wiregen.LedgerCall) ledger.Record {
	return ledger.Record{
		Key:       ledger.Key{Team: m.GetTeam(), Key: m.GetKey()},
		Digest:    m.GetDigest(),
		Service:   m.GetService(),
		Attempt:   m.GetAttempt(),
		Owner:     m.GetOwner(),
		ClaimedAt: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
		Lease:     time.Duration(m.GetLeaseMillis()) * time.Millisecond,
		Withdrawn: m.GetWithdrawn(),
		Promised:  decodeBallot(m.GetPromised()),
		Accepted:  decodeBallot(m.GetAccepted()),
		Value: ledger.Value{
			Ending:  ledger.Ending(m.GetEnding()),
			Outcome: DecodeOutcome(m.GetOutcome()),
			By:      m.GetEndedBy(),
		},
		Chosen: m.GetChosen(),
	}
}

// EncodeLedgerChange returns the message for a change in the journal, in which claims carry wall-clock time.
func EncodeLedgerChange(c ledger.Change) *wiregen.LedgerChange {
	switch {
	case c.Memory != nil:
		memory := &wiregen.LedgerMemory{Group: c.Memory.Group, Epoch: c.Memory.Epoch, Incarnation: c.Memory.Incarnation, Vector: c.Memory.Vector}
		return &wiregen.LedgerChange{Change: &wiregen.LedgerChange_Memory{Memory: memory}}
	case c.Put != nil:
		call := EncodeLedgerCall(c.Put.ClaimedAt, *c.Put)
		call.ClaimedUnixMillis = c.Put.ClaimedAt.UnixMilli()
		return &wiregen.LedgerChange{Change: &wiregen.LedgerChange_Put{Put: call}}
	default:
		return &wiregen.LedgerChange{Change: &wiregen.LedgerChange_Drop{Drop: &wiregen.LedgerKey{Team: c.Drop.Team, Key: c.Drop.Key}}}
	}
}

// DecodeLedgerChange returns the change of a message read from the journal.
func DecodeLedgerChange(m *wiregen.LedgerChange) ledger.Change {
	if memory := m.GetMemory(); memory != nil {
		return ledger.Change{Memory: &ledger.Memory{Group: memory.GetGroup(), Epoch: memory.GetEpoch(), Incarnation: memory.GetIncarnation(), Vector: memory.GetVector()}}
	}
	if put := m.GetPut(); put != nil {
		call := DecodeLedgerCall(time.UnixMilli(put.GetClaimedUnixMillis()), put)
		return ledger.Change{Put: &call}
	}
	return ledger.Change{Drop: &ledger.Key{Team: m.GetDrop().GetTeam(), Key: m.GetDrop().GetKey()}}
}

func encodeBallot(b ledger.Ballot) *wiregen.LedgerBallot {
	return &wiregen.LedgerBallot{Number: b.Number, Proposer: b.Proposer}
}

func decodeBallot(m *wiregen.LedgerBallot) ledger.Ballot {
	return ledger.Ballot{Number: m.GetNumber(), Proposer: m.GetProposer()}
}

func encodeOutcome(o ledger.Outcome) *wiregen.LedgerOutcome {
	return &wiregen.LedgerOutcome{Status: int64(o.Status), ContentType: o.ContentType, Body: o.Body, Kept: o.Kept}
}

// DecodeOutcome returns the outcome of a message.
func DecodeOutcome(m *wiregen.LedgerOutcome) ledger.Outcome {
	return ledger.Outcome{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), Kept: m.GetKept()}
}

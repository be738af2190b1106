package control

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"arbutusreel/consensus"
	"arbutusreel/problem"
	"arbutusreel/wiregen"
)

func memberStatuses(members consensus.Members) []*wiregen.MemberStatus {
	var all []*wiregen.MemberStatus
	for _, m := range members {
		all = append(all, &wiregen.MemberStatus{Name: m.ID.Name, Address: m.Address, Disk: m.ID.Disk, Voter: m.Voter})
	}
	return all
}

// listMembers returns the members of the quorum. Only the leader answers.
func (c *Control) listMembers(r *http.Request) (proto.Message, error) {
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	return c.membersReply(), nil
}

func (c *Control) membersReply() *wiregen.MembersReply {
	status := c.store.Status()
	return &wiregen.MembersReply{Leader: status.Leader.Name, Members: memberStatuses(status.Members)}
}

// addMember adds the control daemon at an address after it has queried the daemon's disk identity.
func (c *Control) addMember(r *http.Request) (proto.Message, error) {
	m := &wiregen.AddMemberRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	if err := c.store.Confirm(r.Context()); err != nil {
		return nil, err
	}
	id, err := c.identify(r.Context(), m.GetName(), m.GetAddress())
	if err != nil {
		return nil, problem.New(problem.MemberUnreachable, http.StatusBadGateway, "no control daemon answers at %q", m.GetAddress())
	}
	if id.Name != m.GetName() {
		return nil, problem.New(problem.UnknownMember, http.StatusConflict, "the control daemon at %q has the name %q, not %q", m.GetAddress(), id.Name, m.GetName())
	}
	if err := c.store.Add(r.Context(), id, m.GetAddress()); err != nil {
		return nil, err
	}
	c.log.Info().Str("member", id.Name).Str("disk", id.Disk).Str("address", m.GetAddress()).Msg("member added")
	return c.membersReply(), nil
}

// removeMember removes a member; a disk identity in the request must match the member's.
func (c *Control) removeMember(r *http.Request) (proto.Message, error) {
	m := &wiregen.RemoveMemberRequest{}
	if err := c.decode(r, m); err != nil {
		return nil, err
	}
	id := consensus.ID{Name: m.GetName(), Disk: m.GetDisk()}
	if err := c.store.Remove(r.Context(), id); err != nil {
		return nil, err
	}
	c.log.Info().Str("member", id.Name).Str("disk", id.Disk).Msg("member removed")
	return c.membersReply(), nil
}

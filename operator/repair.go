package operator

import (
	"context"
	"net/http"

	"arbutusreel/wiregen"
)

// Doubtful returns the calls of a region that may have run. The client must be connected to an entry of that region.
func (c *Client) Doubtful(ctx context.Context) (*wiregen.RepairListReply, error) {
	reply := &wiregen.RepairListReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/repair", nil, reply)
}

// Settle ends a doubtful call with the finding of an operator. The client must be connected to an entry of that region.
//
// A call that has ended already keeps its ending, which the reply states, so the request can be sent again safely.
func (c *Client) Settle(ctx context.Context, m *wiregen.RepairRequest) (*wiregen.RepairReply, error) {
	reply := &wiregen.RepairReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/repair", m, reply)
}

package operator

import (
	"context"
	"net/http"

	"arbutusreel/wiregen"
)

// Doubtful returns the calls of a region that may have run; the client is one of the region's entries.
func (c *Client) Doubtful(ctx context.Context) (*wiregen.RepairListReply, error) {
	reply := &wiregen.RepairListReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/repair", nil, reply)
}

// Settle ends a doubtful call by an operator's finding; the client is one of the region's entries.
//
// A call that ended before keeps its ending, which the reply tells, so that it is safe to send again.
func (c *Client) Settle(ctx context.Context, m *wiregen.RepairRequest) (*wiregen.RepairReply, error) {
	reply := &wiregen.RepairReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/repair", m, reply)
}

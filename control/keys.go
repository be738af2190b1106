package control

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/wiregen"
)

// checkFollower refuses a follower whose certificate names another instance than its first report does.
func (c *Control) checkFollower(ctx context.Context, first *wiregen.FollowReport) error {
	var self *wiregen.InstanceRevision
	if len(first.GetInstances()) > 0 {
		self = first.GetInstances()[0]
	}
	if err := c.cfg.Keys.CheckClaim(ctx, self.GetName(), self.GetRegion()); err != nil {
		c.log.Warn().Err(err).Msg("peerRefused")
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

package entry

import (
	"context"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Region tells the placement leader what this entry knows of its region.
func (n *Entry) Region(context.Context, *wiregen.RegionRequest) (*wiregen.RegionReply, error) {
	return &wiregen.RegionReply{
		Name:      n.cfg.Self.Name,
		Region:    n.cfg.Self.Region,
		Entries:   wire.EncodeEntries(n.state.live()),
		Endpoints: n.endpointStates(n.state.Endpoints()),
	}, nil
}

package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// follow keeps a stream of accepted inventories open to one control voter after another.
func (n *Entry) follow(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		address := n.cfg.Controls[i%len(n.cfg.Controls)]
		if err := n.followOne(ctx, address); err != nil && ctx.Err() == nil {
			n.log.Warn().Str("control", address).Err(err).Msg("controlUnreachable")
		}
		wait(ctx, followBackoff)
	}
}

// followOne adopts what one control voter sends until the stream ends.
func (n *Entry) followOne(ctx context.Context, address string) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(n.cfg.Keys.Client(n.cfg.ControlNames[address])))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	updates, err := wiregen.NewConfigurationClient(conn).Follow(ctx)
	if err != nil {
		return err
	}
	if err := updates.Send(n.followReport()); err != nil {
		return err
	}
	go every(ctx, reportPeriod, func() { _ = updates.Send(n.followReport()) })
	for {
		update, err := updates.Recv()
		if err != nil {
			return err
		}
		if err := n.adopt(update, address); err != nil {
			return err
		}
	}
}

func (n *Entry) followReport() *wiregen.FollowReport {
	_, revision := n.state.Inventory()
	return &wiregen.FollowReport{Sender: wire.EncodeEntry(n.self()), Instances: []*wiregen.InstanceRevision{{
		Name:     n.cfg.Self.Name,
		Region:   n.cfg.Self.Region,
		Revision: revision,
	}}}
}

// adopt takes an accepted inventory into force; a lower revision is left out.
func (n *Entry) adopt(update *wiregen.FollowUpdate, source string) error {
	began := time.Now()
	inv, err := wire.DecodeInventory(update.GetInventory())
	if err != nil {
		return err
	}
	if n.state.adopt(inv, update.GetRevision(), source) {
		n.log.Info().Int64("revision", update.GetRevision()).Str("source", source).Dur("duration", time.Since(began)).Msg("inventoryAdopted")
	}
	return nil
}

package entry

import (
	"context"
	"net/http"
	"time"

	"arbutusreel/directory"
	"arbutusreel/membership"
)

// publishTimeout bounds one request to the directory.
const publishTimeout = time.Second

// self returns the entry's own advert; it counts as leaving while it is not ready, so that nobody uses it.
func (n *Entry) self() membership.Entry {
	e := n.cfg.Self
	e.Leaving = !n.ready()
	e.Incarnation = n.began.UnixNano()
	e.Sequence = n.adverts.Add(1)
	return n.withLedgerEpoch(e)
}

// publishLoop keeps the entry listed in the directory while it is ready.
func (n *Entry) publishLoop(ctx context.Context) {
	every(ctx, publishPeriod, func() {
		n.state.hear(n.self())
		n.publish(ctx)
	})
}

// publish lists the entry, or takes it off the list if it is not ready or is leaving.
func (n *Entry) publish(ctx context.Context) {
	if n.cfg.DirectoryAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	client := directory.New(n.cfg.DirectoryAddress, http.DefaultClient)
	var err error
	if !n.ready() {
		err = client.Remove(ctx, n.cfg.Self.Name)
	} else {
		err = client.Publish(ctx, n.self())
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("directoryUnreachable")
	}
}

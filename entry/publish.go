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

// self returns the entry's own advert.
func (n *Entry) self() membership.Entry {
	e := n.cfg.Self
	e.Leaving = n.leaving.Load()
	return n.withLedgerEpoch(e)
}

// publishLoop keeps the entry listed in the directory while it is not leaving.
func (n *Entry) publishLoop(ctx context.Context) {
	every(ctx, publishPeriod, func() {
		n.state.hear(n.self())
		n.publish(ctx)
	})
}

// publish lists the entry, or takes it off the list if it is leaving.
func (n *Entry) publish(ctx context.Context) {
	if n.cfg.DirectoryAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	client := directory.New(n.cfg.DirectoryAddress, http.DefaultClient)
	var err error
	if n.leaving.Load() {
		err = client.Remove(ctx, n.cfg.Self.Name)
	} else {
		err = client.Publish(ctx, n.self())
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("directoryUnreachable")
	}
}

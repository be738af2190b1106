package entry

import (
	"context"
	"time"

	"arbutusreel/membership"
)

// publishTimeout is the timeout of one request to the directory.
const publishTimeout = time.Second

// selfAdvert returns a new advert of this entry. While the entry is not ready, the advert says that it is leaving, so
// that it is not used.
func (n *Entry) selfAdvert() membership.Entry {
	e := n.cfg.Self
	e.Leaving = !n.ready()
	e.Incarnation = n.startedAt.UnixNano()
	e.Sequence = n.adverts.Add(1)
	return n.withLedgerEpoch(e)
}

// publishLoop periodically publishes the entry in the directory, or removes it while it is not ready.
func (n *Entry) publishLoop(ctx context.Context) {
	every(ctx, publishPeriod, func() {
		n.state.updateEntry(n.selfAdvert())
		n.publish(ctx)
	})
}

// publish adds the entry to the directory, or removes it if the entry is not ready or is leaving.
func (n *Entry) publish(ctx context.Context) {
	if n.cfg.DirectoryAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var err error
	if !n.ready() {
		err = n.directory.Remove(ctx, n.cfg.Self.Name)
	} else {
		err = n.directory.Publish(ctx, n.selfAdvert())
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("directory unreachable")
	}
}

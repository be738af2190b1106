package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

// Periods and time-outs of a follower.
const (
	// retryPeriod is the pause after a source has failed and before the sources are tried again.
	retryPeriod = 300 * time.Millisecond
	// idleTimeout is the maximum time between two messages of a source.
	idleTimeout = 3 * time.Second
	// maxLeaderAge is the time since a source's last contact with a leader after which the follower switches to another
	// source.
	maxLeaderAge      = 5 * time.Second
	latestTimeout     = time.Second
	reportCheckPeriod = 200 * time.Millisecond
	reportPeriod      = time.Second
	// advertPeriod is the time after which a report includes the sender's addresses again.
	advertPeriod = 4 * time.Second
	// preferredRetryPeriod is the time after which a follower tries a preferred source again.
	preferredRetryPeriod = 10 * time.Second
)

// maxUpdateBytes is the maximum size of one update on the wire.
const maxUpdateBytes = 128 << 20

// Instance is the instance that a follower keeps up to date.
type Instance interface {
	// Sources returns the addresses to follow, the preferred one first; there is at least one.
	Sources() []string
	// Dial returns a connection to a source.
	Dial(address string) (*grpc.ClientConn, error)
	// Adopt puts an encoded inventory into force.
	Adopt(revision int64, whole []byte, source string) error
	// Self returns the state of the instance with its revision in force.
	Self() distribution.Instance
	// Advert returns the instance's addresses.
	Advert() *wiregen.EntryAdvert
}

// Follower keeps a hub up to date.
type Follower struct {
	hub      *Hub
	instance Instance
	log      zerolog.Logger
	failures *distribution.Failures
	// wantsWhole is set if a delta could not be applied to the inventory in force, so that the whole inventory is
	// requested next.
	wantsWhole atomic.Bool
	// advertAt is when the addresses were last sent on the current stream.
	advertAt time.Time
}

// NewFollower returns a follower that keeps the instance and its hub up to date.
func NewFollower(hub *Hub, instance Instance, log zerolog.Logger) *Follower {
	return &Follower{hub: hub, instance: instance, log: log, failures: distribution.NewFailures()}
}

// Run fetches the highest revision of all sources, and then follows one source at a time until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.fetchHighest(ctx, f.instance.Sources())
	for ctx.Err() == nil {
		f.followFirst(ctx, f.sources())
		clock.Sleep(ctx, retryPeriod)
	}
}

// sources returns the sources, with those that failed recently at the end.
func (f *Follower) sources() []string {
	return f.failures.Order(f.hub.now(), f.instance.Sources())
}

// followFirst follows the first source that is connected to a leader. It returns when a preferred source should be
// tried again, all sources have failed, or ctx ends.
func (f *Follower) followFirst(ctx context.Context, sources []string) {
	for _, address := range sources {
		err := f.follow(ctx, address)
		if err == nil || ctx.Err() != nil {
			return
		}
		f.failures.Failed(f.hub.now(), address)
		f.log.Warn().Str("source", address).Err(err).Msg("source failed; trying the next one")
		clock.Sleep(ctx, retryPeriod)
	}
}

// fetchHighest applies the highest revision that any source returns within latestTimeout.
func (f *Follower) fetchHighest(ctx context.Context, sources []string) {
	ctx, cancel := context.WithTimeout(ctx, latestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answers := make(chan *wiregen.FollowUpdate, len(sources))
	for _, address := range sources {
		wg.Go(func() {
			if m, err := f.fetchLatest(ctx, address); err == nil {
				answers <- m
			}
		})
	}
	wg.Wait()
	close(answers)
	var highest *wiregen.FollowUpdate
	for m := range answers {
		if highest == nil || m.GetRevision() > highest.GetRevision() {
			highest = m
		}
	}
	if highest == nil {
		return
	}
	if err := f.apply(highest); err != nil {
		f.log.Error().Err(err).Int64("revision", highest.GetRevision()).Msg("inventory update rejected")
	}
}

func (f *Follower) fetchLatest(ctx context.Context, address string) (*wiregen.FollowUpdate, error) {
	conn, err := f.instance.Dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	revision, checksum := f.heldRevision()
	return wiregen.NewConfigurationClient(conn).Latest(ctx,
		&wiregen.LatestRequest{Revision: revision, Checksum: checksum}, grpc.MaxCallRecvMsgSize(maxUpdateBytes))
}

// follow applies the updates of one source. It returns nil when a preferred
// source should be tried again, and an error when the stream ends, is idle for
// idleTimeout or comes from a source without recent contact with a leader.
func (f *Follower) follow(ctx context.Context, address string) error {
	conn, err := f.instance.Dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := wiregen.NewConfigurationClient(conn).Follow(ctx, grpc.MaxCallRecvMsgSize(maxUpdateBytes))
	if err != nil {
		return err
	}
	sender := distribution.NewSender()
	if err := stream.Send(f.firstReport(sender)); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { f.sendReports(ctx, sender, stream) })
	for started := f.hub.now(); f.hub.now().Sub(started) < preferredRetryPeriod || f.sources()[0] == address; {
		update, err := stream.Recv()
		if err != nil && !idleTimer.Stop() {
			return &IdleSourceError{Address: address, Limit: idleTimeout}
		}
		if err != nil {
			return err
		}
		idleTimer.Reset(idleTimeout)
		if err := f.apply(update); err != nil {
			return err
		}
		if age := time.Duration(update.GetLeaderAgeMillis()) * time.Millisecond; age > maxLeaderAge {
			return &StaleSourceError{Address: address, Age: age}
		}
	}
	return nil
}

// apply puts an update into force; if its deltas cannot be applied, the inventory in force is kept.
func (f *Follower) apply(m *wiregen.FollowUpdate) error {
	f.hub.RecordLeaderContact(f.hub.now().Add(-time.Duration(m.GetLeaderAgeMillis()) * time.Millisecond))
	whole, changed, err := f.hub.apply(decodeUpdate(m))
	f.wantsWhole.Store(err != nil)
	if err != nil || !changed {
		return err
	}
	return f.instance.Adopt(m.GetRevision(), whole, m.GetSource())
}

// heldRevision returns the revision in force and its checksum; a zero checksum requests the whole inventory.
func (f *Follower) heldRevision() (revision int64, checksum uint64) {
	revision, checksum = f.hub.Revision()
	if f.wantsWhole.Load() {
		return revision, 0
	}
	return revision, checksum
}

func (f *Follower) firstReport(sender *distribution.Sender) *wiregen.FollowReport {
	f.advertAt = time.Time{}
	m := f.nextReport(sender)
	m.Revision, m.Checksum = f.heldRevision()
	return m
}

// nextReport returns the report that is due, or nil.
func (f *Follower) nextReport(sender *distribution.Sender) *wiregen.FollowReport {
	now := f.hub.now()
	self := f.instance.Self()
	f.hub.Report(self)
	r, ok := sender.Next(now, self.Revision, f.hub.Instances(), reportPeriod)
	if !ok {
		return nil
	}
	m := encodeReport(now, r)
	if now.Sub(f.advertAt) >= advertPeriod {
		m.Sender, f.advertAt = f.instance.Advert(), now
	}
	return m
}

// sendReports sends reports until the stream ends.
func (f *Follower) sendReports(
	ctx context.Context, sender *distribution.Sender,
	stream grpc.BidiStreamingClient[wiregen.FollowReport, wiregen.FollowUpdate],
) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportCheckPeriod)
		if m := f.nextReport(sender); m != nil && stream.Send(m) != nil {
			return
		}
	}
}

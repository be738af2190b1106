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

// Periods and limits of a follower.
const (
	retryPeriod   = 300 * time.Millisecond
	silenceLimit  = 3 * time.Second
	staleLimit    = 5 * time.Second
	latestTimeout = time.Second
	reportCheck   = 200 * time.Millisecond
	reportPeriod  = time.Second
	// advertPeriod is the time after which a report names the sender's addresses again.
	advertPeriod = 4 * time.Second
	// preferPeriod is the time after which a follower goes back to a source that it prefers.
	preferPeriod = 10 * time.Second
)

// maxUpdateBytes bounds one update on the wire.
const maxUpdateBytes = 128 << 20

// Instance is the instance that a follower keeps up to date.
type Instance interface {
	// Sources returns the addresses to follow, the preferred one first; there is at least one.
	Sources() []string
	// Dial returns a connection to a source.
	Dial(address string) (*grpc.ClientConn, error)
	// Adopt takes an encoded inventory into force.
	Adopt(revision int64, whole []byte, source string) error
	// Self returns the instance with the revision that it has in force.
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
	// wantsWhole says that a delta did not fit, so that the next source is asked for the whole.
	wantsWhole atomic.Bool
	// advertAt is when the addresses were last sent on the present stream.
	advertAt time.Time
}

// NewFollower returns a follower that keeps the instance and its hub up to date.
func NewFollower(hub *Hub, instance Instance, log zerolog.Logger) *Follower {
	return &Follower{hub: hub, instance: instance, log: log, failures: distribution.NewFailures()}
}

// Run asks all sources for the highest revision and then follows one after another until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.askAll(ctx, f.instance.Sources())
	for ctx.Err() == nil {
		f.followFirst(ctx, f.sources())
		clock.Sleep(ctx, retryPeriod)
	}
}

// sources returns the sources, those that failed lately at the end.
func (f *Follower) sources() []string {
	return f.failures.Order(f.hub.now(), f.instance.Sources())
}

// followFirst follows the first source that is connected to a leader.
func (f *Follower) followFirst(ctx context.Context, sources []string) {
	for _, address := range sources {
		err := f.follow(ctx, address)
		if err == nil || ctx.Err() != nil {
			return
		}
		f.failures.Failed(f.hub.now(), address)
		f.log.Warn().Str("source", address).Err(err).Msg("sourceLeft")
		clock.Sleep(ctx, retryPeriod)
	}
}

// askAll takes the highest revision that any source answers within latestTimeout.
func (f *Follower) askAll(ctx context.Context, sources []string) {
	ctx, cancel := context.WithTimeout(ctx, latestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answers := make(chan *wiregen.FollowUpdate, len(sources))
	for _, address := range sources {
		wg.Go(func() {
			if m, err := f.ask(ctx, address); err == nil {
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
	if err := f.take(highest); err != nil {
		f.log.Error().Err(err).Int64("revision", highest.GetRevision()).Msg("inventoryRefused")
	}
}

func (f *Follower) ask(ctx context.Context, address string) (*wiregen.FollowUpdate, error) {
	conn, err := f.instance.Dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	revision, checksum := f.held()
	return wiregen.NewConfigurationClient(conn).Latest(ctx, &wiregen.LatestRequest{Revision: revision, Checksum: checksum}, grpc.MaxCallRecvMsgSize(maxUpdateBytes))
}

// follow takes what one source sends. It returns nil when a preferred source
// should be tried again, and an error when the stream ends, falls silent or
// comes from a source without a leader.
func (f *Follower) follow(ctx context.Context, address string) error {
	conn, err := f.instance.Dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	updates, err := wiregen.NewConfigurationClient(conn).Follow(ctx, grpc.MaxCallRecvMsgSize(maxUpdateBytes))
	if err != nil {
		return err
	}
	sender := distribution.NewSender()
	if err := updates.Send(f.firstReport(sender)); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { f.report(ctx, sender, updates) })
	for began := f.hub.now(); f.hub.now().Sub(began) < preferPeriod || f.sources()[0] == address; {
		update, err := updates.Recv()
		if err != nil && !silence.Stop() {
			return &SilentSourceError{Address: address, Limit: silenceLimit}
		}
		if err != nil {
			return err
		}
		silence.Reset(silenceLimit)
		if err := f.take(update); err != nil {
			return err
		}
		if age := time.Duration(update.GetLeaderAgeMillis()) * time.Millisecond; age > staleLimit {
			return &StaleSourceError{Address: address, Age: age}
		}
	}
	return nil
}

// take takes an update into force; if its deltas do not fit, the hub's own state is left as it is.
func (f *Follower) take(m *wiregen.FollowUpdate) error {
	f.hub.HeardLeader(f.hub.now().Add(-time.Duration(m.GetLeaderAgeMillis()) * time.Millisecond))
	whole, changed, err := f.hub.take(decodeUpdate(m))
	f.wantsWhole.Store(err != nil)
	if err != nil || !changed {
		return err
	}
	return f.instance.Adopt(m.GetRevision(), whole, m.GetSource())
}

// held returns the revision in force and its checksum; zero as the checksum asks for the whole.
func (f *Follower) held() (revision int64, checksum uint64) {
	revision, checksum = f.hub.Revision()
	if f.wantsWhole.Load() {
		return revision, 0
	}
	return revision, checksum
}

func (f *Follower) firstReport(sender *distribution.Sender) *wiregen.FollowReport {
	f.advertAt = time.Time{}
	m := f.nextReport(sender)
	m.Revision, m.Checksum = f.held()
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

// report sends reports until the stream ends.
func (f *Follower) report(ctx context.Context, sender *distribution.Sender, updates grpc.BidiStreamingClient[wiregen.FollowReport, wiregen.FollowUpdate]) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportCheck)
		if m := f.nextReport(sender); m != nil && updates.Send(m) != nil {
			return
		}
	}
}

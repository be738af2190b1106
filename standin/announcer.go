package standin

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"arbutusreel/clock"
	"arbutusreel/directory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Parameters of announcing.
const (
	announceTimeout = 500 * time.Millisecond
	// announceRetryPeriod is the time to the next announcement if no entry accepted the last one.
	announceRetryPeriod = 100 * time.Millisecond
	// candidateEntries is the number of entries tried: the preferred one, and a fallback if it does not answer.
	candidateEntries  = 2
	announcesPerLease = 2
	leavingPeriod     = 100 * time.Millisecond
	// A load is reported at least in every loadReportRenewals-th renewal, and at once if a value changes by more than the
	// fraction loadChangeThreshold.
	loadReportRenewals  = 4
	loadChangeThreshold = 0.1
)

// announcer announces one endpoint until stopped to an entry of its region, or to a fallback if that does not answer.
type announcer struct {
	directory *directory.Client
	region    string
	client    *http.Client
	describe  func() *wiregen.Announcement
	sequence  int64
	addresses []string
	lease     time.Duration
	// registeredAt is the address of the entry that accepted the last announcement, or empty, and lastFull the last full
	// announcement that it accepted.
	registeredAt string
	lastFull     *wiregen.Announcement
	// lastLoad is the last reported load, and renewalsSinceLoad the number of renewals since.
	lastLoad          *wiregen.LoadReport
	renewalsSinceLoad int
	// cacheSequence is the sequence number of the next cache event that the entry at registeredAt expects.
	cacheSequence int64
}

// newAnnouncer returns an announcer of the endpoint that describe returns.
func newAnnouncer(d *directory.Client, region string, describe func() *wiregen.Announcement) *announcer {
	return &announcer{
		directory: d,
		region:    region,
		client:    &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableCompression: true}},
		describe:  describe,
	}
}

// run announces until ctx ends, and then announces the endpoint as leaving until the notice period is over.
func (a *announcer) run(ctx context.Context, notice time.Duration) {
	for ctx.Err() == nil {
		a.announce(ctx, false)
		select {
		case <-ctx.Done():
		case <-time.After(a.period()):
		}
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), notice)
	defer cancel()
	a.announce(context.WithoutCancel(ctx), true)
	for clock.Sleep(leaving, leavingPeriod) {
		a.announce(leaving, true)
	}
}

func (a *announcer) period() time.Duration {
	if a.lease <= 0 || a.registeredAt == "" {
		return announceRetryPeriod
	}
	return a.lease / announcesPerLease
}

// announce renews the registration, or sends a full announcement if it cannot be renewed.
func (a *announcer) announce(ctx context.Context, leaving bool) {
	a.refreshEntries(ctx)
	m := a.describe()
	a.sequence++
	m.Sequence = a.sequence
	m.Leaving = leaving
	unresponsive := ""
	if len(a.addresses) > 0 && a.addresses[0] == a.registeredAt && a.canRenew(m) {
		reply, ok := a.send(ctx, a.registeredAt, a.renewal(m))
		if ok && !reply.GetWantsWhole() {
			a.recordAccepted(m)
			return
		}
		if !ok {
			unresponsive = a.registeredAt
		}
		a.sequence++
		m.Sequence = a.sequence
	}
	a.announceFull(ctx, m, unresponsive)
}

// announceFull sends a full announcement to the first entry that answers, skipping the one that just failed to answer.
func (a *announcer) announceFull(ctx context.Context, m *wiregen.Announcement, unresponsive string) {
	a.registeredAt = ""
	for _, address := range a.addresses {
		if address == unresponsive {
			continue
		}
		reply, ok := a.send(ctx, address, m)
		if !ok {
			continue
		}
		a.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
		a.registeredAt, a.lastFull, a.lastLoad = address, m, nil
		a.recordAccepted(m)
		return
	}
}

// canRenew reports whether m is not a leaving announcement and differs from the last full one at most in load and cache
// events.
func (a *announcer) canRenew(m *wiregen.Announcement) bool {
	return !m.GetLeaving() && proto.Equal(withoutRenewedFields(m), withoutRenewedFields(a.lastFull))
}

// withoutRenewedFields returns a copy of an announcement without the fields that every renewal updates.
func withoutRenewedFields(m *wiregen.Announcement) *wiregen.Announcement {
	m = proto.CloneOf(m)
	m.Sequence, m.Load, m.CacheEvents, m.CacheSequence = 0, nil, nil, 0
	return m
}

// renewal returns the message that renews the last full announcement.
func (a *announcer) renewal(m *wiregen.Announcement) *wiregen.Announcement {
	r := &wiregen.Announcement{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		Renews:      a.lastFull.GetSequence(),
	}
	if a.renewalsSinceLoad+1 >= loadReportRenewals || loadChanged(m.GetLoad(), a.lastLoad) {
		r.Load = m.GetLoad()
	}
	if len(m.GetCacheEvents()) > 0 || m.GetCacheSequence() != a.cacheSequence {
		r.CacheEvents, r.CacheSequence = m.GetCacheEvents(), m.GetCacheSequence()
	}
	return r
}

// recordAccepted records the cache sequence and load of an announcement that an entry accepted.
func (a *announcer) recordAccepted(m *wiregen.Announcement) {
	a.cacheSequence = m.GetCacheSequence() + int64(len(m.GetCacheEvents()))
	a.renewalsSinceLoad++
	if a.lastLoad == nil || a.renewalsSinceLoad >= loadReportRenewals || loadChanged(m.GetLoad(), a.lastLoad) {
		a.lastLoad, a.renewalsSinceLoad = m.GetLoad(), 0
	}
}

// loadChanged reports whether a load differs enough from the last reported one to be reported at once; a delayed load
// always does.
func loadChanged(m, reported *wiregen.LoadReport) bool {
	if m.GetAgeMillis() > 0 || reported.GetAgeMillis() > 0 {
		return true
	}
	return exceedsThreshold(float64(m.GetRunning()), float64(reported.GetRunning())) ||
		exceedsThreshold(float64(m.GetQueued()), float64(reported.GetQueued())) ||
		exceedsThreshold(float64(m.GetQueuedTokens()), float64(reported.GetQueuedTokens())) ||
		exceedsThreshold(m.GetTokensPerSecond(), reported.GetTokensPerSecond()) ||
		exceedsThreshold(m.GetPrefillTokensPerSecond(), reported.GetPrefillTokensPerSecond()) ||
		exceedsThreshold(m.GetCacheUse(), reported.GetCacheUse())
}

func exceedsThreshold(a, b float64) bool { return math.Abs(a-b) > loadChangeThreshold*max(a, b) }

// refreshEntries reads the entries of the region from the directory; the last known ones stay if it does not answer.
func (a *announcer) refreshEntries(ctx context.Context) {
	entries, err := a.directory.Entries(ctx)
	if err != nil {
		return
	}
	var addresses []string
	for _, e := range entries {
		if e.Region == a.region {
			addresses = append(addresses, e.EndpointAddress)
		}
	}
	if len(addresses) > 0 {
		a.addresses = membership.Rendezvous(a.describe().GetName(), addresses, candidateEntries)
	}
}

// send posts a message and reports whether the entry accepted it; an accepted renewal has an empty reply.
func (a *announcer) send(ctx context.Context, address string, m *wiregen.Announcement,
) (*wiregen.AnnouncementReply, bool) {
	body, err := protojson.Marshal(m)
	if err != nil {
		return nil, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announcements",
		bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("User-Agent", "")
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	reply := &wiregen.AnnouncementReply{}
	switch {
	case err != nil:
		return nil, false
	case resp.StatusCode == http.StatusNoContent:
		return reply, true
	default:
		return reply, resp.StatusCode == http.StatusOK && wire.DecodeJSON(b, reply) == nil
	}
}

package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/clock"
	"arbutusreel/directory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Announcing limits.
const (
	announceTimeout   = time.Second
	announceFallback  = 500 * time.Millisecond
	announceCopies    = 2
	announcesPerLease = 3
	leavingPeriod     = 100 * time.Millisecond
)

// announcer announces one endpoint to entries of its region until stopped.
type announcer struct {
	directory *directory.Client
	region    string
	client    *http.Client
	describe  func() *wiregen.Announcement
	sequence  int64
	addresses []string
	lease     time.Duration
}

// newAnnouncer returns an announcer of what describe returns.
func newAnnouncer(d *directory.Client, region string, describe func() *wiregen.Announcement) *announcer {
	return &announcer{directory: d, region: region, client: &http.Client{Timeout: announceTimeout}, describe: describe}
}

// run announces until ctx ends, and then as leaving until the notice has passed.
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
	if a.lease <= 0 {
		return announceFallback
	}
	return a.lease / announcesPerLease
}

func (a *announcer) announce(ctx context.Context, leaving bool) {
	a.look(ctx)
	m := a.describe()
	a.sequence++
	m.Sequence = a.sequence
	m.Leaving = leaving
	body, err := protojson.Marshal(m)
	if err != nil {
		return
	}
	for _, address := range a.addresses {
		a.send(ctx, address, body)
	}
}

// look reads the entries of the region from the directory; the last known ones are kept if it gives no answer.
func (a *announcer) look(ctx context.Context) {
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
		a.addresses = membership.Rendezvous(a.describe().GetName(), addresses, announceCopies)
	}
}

func (a *announcer) send(ctx context.Context, address string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	reply := &wiregen.AnnouncementReply{}
	if wire.DecodeJSON(b, reply) == nil {
		a.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
	}
}

// clone returns a copy of names that the receiver may keep.
func clone(names []string) []string { return slices.Clone(names) }

package operator

import (
	"context"
	"time"

	"arbutusreel/wiregen"
)

const (
	// statusPollInterval is the time between two status requests while a revision is rolled out.
	statusPollInterval = 200 * time.Millisecond
	// maxLiveReportAge is the age of a report above which its instance is considered gone.
	maxLiveReportAge = 10 * time.Second
)

// WaitInForce waits until every live instance reports the revision or a higher one, and returns the number of live
// instances. It returns *NotInForceError if ctx ends first.
func (c *Client) WaitInForce(ctx context.Context, revision int64) (int, error) {
	notInForce := &NotInForceError{Revision: revision}
	for {
		reply, err := c.Status(ctx)
		notInForce.Cause = err
		if err == nil && reply.GetCurrent() {
			live, lagging := countInForce(reply, revision)
			if live > 0 && len(lagging) == 0 {
				return live, nil
			}
			notInForce.Lagging = lagging
		}
		if pause(ctx, statusPollInterval) {
			continue
		}
		if notInForce.Cause == nil {
			notInForce.Cause = context.DeadlineExceeded
		}
		return 0, notInForce
	}
}

// countInForce returns the number of live instances and the names of those that report a lower revision.
func countInForce(m *wiregen.StatusReply, revision int64) (live int, lagging []string) {
	for _, i := range m.GetInstances() {
		if time.Duration(i.GetAgeMillis())*time.Millisecond > maxLiveReportAge {
			continue
		}
		live++
		if i.GetRevision() < revision {
			lagging = append(lagging, i.GetName())
		}
	}
	return live, lagging
}

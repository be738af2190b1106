package operator

import (
	"context"
	"time"

	"arbutusreel/wiregen"
)

const (
	// statusPause is the time between two questions for the status while a revision spreads.
	statusPause = 200 * time.Millisecond
	// maxReportAge is the age of a report above which its instance counts as gone.
	maxReportAge = 10 * time.Second
)

// WaitInForce waits until every live instance reports the revision or a higher one, and returns their number. If ctx
// ends before that it returns *NotInForceError.
func (c *Client) WaitInForce(ctx context.Context, revision int64) (int, error) {
	waiting := &NotInForceError{Revision: revision}
	for {
		reply, err := c.Status(ctx)
		waiting.Cause = err
		if err == nil && reply.GetCurrent() {
			live, lagging := inForce(reply, revision)
			if live > 0 && len(lagging) == 0 {
				return live, nil
			}
			waiting.Lagging = lagging
		}
		if pause(ctx, statusPause) {
			continue
		}
		if waiting.Cause == nil {
			waiting.Cause = context.DeadlineExceeded
		}
		return 0, waiting
	}
}

// inForce counts the live instances of a status and names those below the revision.
func inForce(m *wiregen.StatusReply, revision int64) (live int, lagging []string) {
	for _, i := range m.GetInstances() {
		if time.Duration(i.GetAgeMillis())*time.Millisecond > maxReportAge {
			continue
		}
		live++
		if i.GetRevision() < revision {
			lagging = append(lagging, i.GetName())
		}
	}
	return live, lagging
}

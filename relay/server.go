package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

// heartbeatPeriod is the period of the heartbeats that a source sends.
const heartbeatPeriod = time.Second

// Server serves a hub to its followers.
type Server struct {
	wiregen.UnimplementedConfigurationServer

	hub *Hub
	// onReport is called with each report; an error from the first one refuses the follower, one from a later report ends
	// the reading of reports.
	onReport func(ctx context.Context, m *wiregen.FollowReport) error
	done     <-chan struct{}
}

var _ wiregen.ConfigurationServer = (*Server)(nil)

// NewServer returns a server whose streams end when done is closed. onReport is
// called with each report; it refuses a follower by an error on the first one.
func NewServer(hub *Hub, onReport func(context.Context, *wiregen.FollowReport) error, done <-chan struct{}) *Server {
	return &Server{hub: hub, onReport: onReport, done: done}
}

// Latest returns the update that the caller lacks.
func (s *Server) Latest(_ context.Context, m *wiregen.LatestRequest) (*wiregen.FollowUpdate, error) {
	u, _, _ := s.hub.updateSince(m.GetRevision(), m.GetChecksum())
	return s.addSourceState(encodeUpdate(u)), nil
}

// addSourceState sets the source of an update and the time since its last contact with a leader.
func (s *Server) addSourceState(m *wiregen.FollowUpdate) *wiregen.FollowUpdate {
	m.Source = s.hub.name
	m.LeaderAgeMillis = s.hub.LeaderAge().Milliseconds()
	return m
}

// Follow sends the update that the follower lacks, then each newer revision, and heartbeats in between.
func (s *Server) Follow(reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate]) error {
	first, err := reports.Recv()
	if err != nil {
		return err
	}
	if first.GetSender() == nil {
		return status.Error(codes.InvalidArgument, "the first report names no sender")
	}
	if err := s.onReport(reports.Context(), first); err != nil {
		return err
	}
	receiver := distribution.NewReceiver()
	s.receiveReport(receiver, first)
	go s.readReports(receiver, reports)
	revision, checksum := first.GetRevision(), first.GetChecksum()
	heartbeats := time.NewTicker(heartbeatPeriod)
	defer heartbeats.Stop()
	for {
		u, ok, changed := s.hub.updateSince(revision, checksum)
		if err := reports.Send(s.addSourceState(encodeUpdate(u))); err != nil {
			return err
		}
		if ok {
			revision, checksum = s.hub.Revision()
			if revision != u.Revision {
				revision, checksum = u.Revision, 0
			}
			if len(u.Deltas) > 0 {
				checksum = u.Deltas[len(u.Deltas)-1].Checksum
			}
		}
		select {
		case <-changed:
		case <-heartbeats.C:
		case <-reports.Context().Done():
			return reports.Context().Err()
		case <-s.done:
			return nil
		}
	}
}

// readReports receives the reports of a follower until its stream ends.
func (s *Server) readReports(
	receiver *distribution.Receiver, reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate],
) {
	for {
		m, err := reports.Recv()
		if err != nil || s.onReport(reports.Context(), m) != nil {
			return
		}
		s.receiveReport(receiver, m)
	}
}

func (s *Server) receiveReport(receiver *distribution.Receiver, m *wiregen.FollowReport) {
	now := s.hub.now()
	s.hub.Report(receiver.Receive(now, decodeReport(now, m))...)
}

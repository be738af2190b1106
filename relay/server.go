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

// signPeriod is the period of the signs of life that a source sends.
const signPeriod = time.Second

// Server serves a hub to its followers.
type Server struct {
	wiregen.UnimplementedConfigurationServer

	hub *Hub
	// heard is called with each report; an error from the first one refuses the follower.
	heard func(ctx context.Context, m *wiregen.FollowReport) error
	done  <-chan struct{}
}

var _ wiregen.ConfigurationServer = (*Server)(nil)

// NewServer returns a server whose streams end when done is closed; heard is
// called with each report, and refuses a follower by an error on the first one.
func NewServer(hub *Hub, heard func(context.Context, *wiregen.FollowReport) error, done <-chan struct{}) *Server {
	return &Server{hub: hub, heard: heard, done: done}
}

// Latest returns what the asker lacks.
func (s *Server) Latest(_ context.Context, m *wiregen.LatestRequest) (*wiregen.FollowUpdate, error) {
	u, _, _ := s.hub.since(m.GetRevision(), m.GetChecksum())
	return s.sign(encodeUpdate(u)), nil
}

// sign adds who sends an update and how old its word of the leader is.
func (s *Server) sign(m *wiregen.FollowUpdate) *wiregen.FollowUpdate {
	m.Source = s.hub.name
	m.LeaderAgeMillis = s.hub.LeaderAge().Milliseconds()
	return m
}

// Follow sends what the follower lacks, then each newer revision, and signs of life in between.
func (s *Server) Follow(reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate]) error {
	first, err := reports.Recv()
	if err != nil {
		return err
	}
	if first.GetSender() == nil {
		return status.Error(codes.InvalidArgument, "the first report names no sender")
	}
	if err := s.heard(reports.Context(), first); err != nil {
		return err
	}
	receiver := distribution.NewReceiver()
	s.take(receiver, first)
	go s.readReports(receiver, reports)
	revision, checksum := first.GetRevision(), first.GetChecksum()
	signs := time.NewTicker(signPeriod)
	defer signs.Stop()
	for {
		u, ok, changed := s.hub.since(revision, checksum)
		if err := reports.Send(s.sign(encodeUpdate(u))); err != nil {
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
		case <-signs.C:
		case <-reports.Context().Done():
			return reports.Context().Err()
		case <-s.done:
			return nil
		}
	}
}

// readReports takes the reports of a follower until its stream ends.
func (s *Server) readReports(receiver *distribution.Receiver, reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate]) {
	for {
		m, err := reports.Recv()
		if err != nil || s.heard(reports.Context(), m) != nil {
			return
		}
		s.take(receiver, m)
	}
}

func (s *Server) take(receiver *distribution.Receiver, m *wiregen.FollowReport) {
	now := s.hub.now()
	s.hub.Report(receiver.Receive(now, decodeReport(now, m))...)
}

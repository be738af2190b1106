package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"arbutusreel/directory"
	"arbutusreel/wiregen"
)

// ServiceConfig describes an emulated endpoint of a plain service.
type ServiceConfig struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Service       string
	Slots         int
	// LeaveNotice is the time between the first announcement as leaving and the stop.
	LeaveNotice time.Duration
	Incarnation int64
}

// Service is an emulated plain service that counts the runs of each call.
type Service struct {
	cfg       ServiceConfig
	directory *directory.Client
	mu        sync.Mutex
	runCounts map[string]int
}

// NewService returns a service that announces itself to the entries listed in the directory.
func NewService(cfg ServiceConfig, d *directory.Client) *Service {
	return &Service{cfg: cfg, directory: d, runCounts: map[string]int{}}
}

// Run announces the service until ctx ends, and then announces it as leaving for LeaveNotice.
func (s *Service) Run(ctx context.Context) {
	newAnnouncer(s.directory, s.cfg.Region, s.describe).run(ctx, s.cfg.LeaveNotice)
}

func (s *Service) describe() *wiregen.Announcement {
	return &wiregen.Announcement{
		Name:          s.cfg.Name,
		Incarnation:   s.cfg.Incarnation,
		Address:       s.cfg.Address,
		Region:        s.cfg.Region,
		FailureDomain: s.cfg.FailureDomain,
		Service:       s.cfg.Service,
		Slots:         int64(s.cfg.Slots),
	}
}

// serviceResponse is the JSON response to a call.
type serviceResponse struct {
	Endpoint string `json:"endpoint"`
	Ran      int    `json:"ran"`
}

// Handler serves calls; GET /ran responds with the number of runs of each body.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.runCounts)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if ran, answered := s.run(w, string(body)); answered {
			writeJSON(w, serviceResponse{Endpoint: s.cfg.Name, Ran: ran})
		}
	})
	return mux
}

// recordRun counts one more run of a body and returns the number of its runs.
func (s *Service) recordRun(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[body]++
	return s.runCounts[body]
}

// RunCount returns how often a body was run.
func (s *Service) RunCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[body]
}

package entry

import (
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// announceEntries is how many entries an endpoint announces itself to.
const announceEntries = 2

// endpointHandler serves the endpoints of the region.
func (n *Entry) endpointHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", n.takeAnnouncement)
	return mux
}

// takeAnnouncement renews the lease of an endpoint of the own region.
func (n *Entry) takeAnnouncement(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		problem.Write(w, problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "an announcement has at most %d bytes", maxAnnouncement), "")
		return
	}
	m := &wiregen.Announcement{}
	if err := wire.DecodeJSON(b, m); err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	e, err := wire.DecodeAnnouncement(n.state.now(), m)
	if err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	if e.Region != n.cfg.Self.Region {
		problem.Write(w, problem.New(problem.Forbidden, http.StatusForbidden, "endpoint %q is of region %q; this instance is of region %q", e.Name, e.Region, n.cfg.Self.Region), "")
		return
	}
	if n.state.announce(e, n.cfg.AnnouncementLease) {
		n.log.Debug().Str("endpoint", e.Name).Bool("leaving", e.Leaving).Msg("announced")
	}
	n.replyAnnouncement(w, e.Name)
}

// replyAnnouncement answers with the lease and the entries that take the endpoint's next announcements.
func (n *Entry) replyAnnouncement(w http.ResponseWriter, endpoint string) {
	reply := &wiregen.AnnouncementReply{LeaseMillis: n.cfg.AnnouncementLease.Milliseconds()}
	var addresses []string
	for _, e := range n.state.live() {
		if e.Region == n.cfg.Self.Region && !e.Leaving {
			addresses = append(addresses, e.EndpointAddress)
		}
	}
	reply.Entries = membership.Rendezvous(endpoint, addresses, announceEntries)
	b, err := protojson.Marshal(reply)
	if err != nil {
		problem.Write(w, problem.From(err), "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

package entry

import (
	"io"
	"net/http"

	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// announceEntries is how many entries an endpoint is told of: the one that takes its announcements and a fall-back.
const announceEntries = 2

// endpointHandler serves the endpoints of the region.
func (n *Entry) endpointHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", n.takeAnnouncement)
	return mux
}

// takeAnnouncement takes an announcement of an endpoint of the own region, whole or as a renewal.
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
	if m.GetRenews() > 0 {
		n.takeRenewal(w, m)
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

// takeRenewal renews a lease; without a body it says that nothing has changed.
func (n *Entry) takeRenewal(w http.ResponseWriter, m *wiregen.Announcement) {
	r, err := wire.DecodeRenewal(n.state.now(), m)
	if err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	if n.state.renew(r, n.cfg.AnnouncementLease) {
		w.Header()["Date"] = nil
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeReply(w, http.StatusOK, &wiregen.AnnouncementReply{WantsWhole: true})
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
	writeReply(w, http.StatusOK, reply)
}

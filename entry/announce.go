package entry

import (
	"io"
	"net/http"
	"slices"

	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// announcementEntries is how many entries an endpoint is given to announce itself to: the one that receives its
// announcements and a fallback.
const announcementEntries = 2

// endpointHandler returns the handler of the HTTP server for the region's endpoints.
func (n *Entry) endpointHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", n.handleAnnouncement)
	return mux
}

// handleAnnouncement accepts an announcement of an endpoint of this region, either in full or as a renewal.
func (n *Entry) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		problem.Write(w, problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "an announcement must have at most %d bytes", maxAnnouncement), "")
		return
	}
	m := &wiregen.Announcement{}
	if err := wire.DecodeJSON(b, m); err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	if m.GetRenews() > 0 {
		n.handleRenewal(w, m)
		return
	}
	e, err := wire.DecodeAnnouncement(n.state.now(), m)
	if err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	if e.Region != n.cfg.Self.Region {
		problem.Write(w, problem.New(problem.Forbidden, http.StatusForbidden, "endpoint %q is in region %q; this instance is in region %q", e.Name, e.Region, n.cfg.Self.Region), "")
		return
	}
	if n.state.announce(e, n.cfg.AnnouncementLease) {
		n.log.Debug().Str("endpoint", e.Name).Bool("leaving", e.Leaving).Msg("announcement accepted")
	}
	n.replyAnnouncement(w, e.Name)
}

// handleRenewal renews an endpoint's lease. A reply without a body means that nothing has changed. If this instance
// doesn't hold the announcement that is renewed, the reply asks for a full one.
func (n *Entry) handleRenewal(w http.ResponseWriter, m *wiregen.Announcement) {
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

// replyAnnouncement replies with the duration of the lease and the addresses of the entries for the endpoint's next
// announcements.
func (n *Entry) replyAnnouncement(w http.ResponseWriter, endpoint string) {
	reply := &wiregen.AnnouncementReply{LeaseMillis: n.cfg.AnnouncementLease.Milliseconds()}
	own := slices.DeleteFunc(n.state.live(), func(e membership.Entry) bool { return e.Region != n.cfg.Self.Region })
	var addresses []string
	for _, e := range staying(own) {
		addresses = append(addresses, e.EndpointAddress)
	}
	reply.Entries = membership.Rendezvous(endpoint, addresses, announcementEntries)
	writeReply(w, http.StatusOK, reply)
}

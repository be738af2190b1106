package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/directory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// fakeEntry is an entry that accepts announcements; it can be down or lose what was announced.
type fakeEntry struct {
	mu                  sync.Mutex
	received            []*wiregen.Announcement
	down                bool
	forgetsAnnouncement bool
}

func (h *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, _ := io.ReadAll(r.Body)
	m := &wiregen.Announcement{}
	if h.down || wire.DecodeJSON(b, m) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.received = append(h.received, m)
	if m.GetRenews() > 0 && !h.forgetsAnnouncement {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, _ = protojson.Marshal(&wiregen.AnnouncementReply{LeaseMillis: 3000, WantsWhole: m.GetRenews() > 0})
	_, _ = w.Write(b)
}

func TestAnnouncer(t *testing.T) {
	var fakes [2]fakeEntry
	dir := NewDirectory()
	var addresses []string
	byAddress := map[string]*fakeEntry{}
	for i := range fakes {
		server := httptest.NewServer(&fakes[i])
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		addresses = append(addresses, address)
		byAddress[address] = &fakes[i]
	}
	entries := httptest.NewServer(dir.Handler())
	t.Cleanup(entries.Close)
	client := directory.New(entries.Listener.Addr().String(), http.DefaultClient)
	for _, address := range addresses {
		if err := client.Publish(t.Context(), membership.Entry{
			Name: address, Region: "lahore", EndpointAddress: address,
		}); err != nil {
			t.Fatal(err)
		}
	}
	order := membership.Rendezvous("engine", addresses, candidateEntries)
	first, second := byAddress[order[0]], byAddress[order[1]]
	var models, loading []string
	a := newAnnouncer(client, "lahore", func() *wiregen.Announcement {
		return &wiregen.Announcement{Name: "engine", Region: "lahore", Models: models, Loading: loading,
			Load: &wiregen.LoadReport{Running: 3}}
	})
	steps := []struct {
		name    string
		prepare func()
		leaving bool
		// wantFirst and wantSecond are the sequence numbers of the messages to the two entries, with a 0 before each renewal.
		wantFirst, wantSecond []int64
	}{
		{"full announcement to one entry", func() {}, false, []int64{1}, nil},
		{"renewal", func() {}, false, []int64{0, 2}, nil},
		{"changed models are announced in full", func() { models = []string{"b"} }, false, []int64{3}, nil},
		{"loading models are announced in full", func() { loading = []string{"c"} }, false, []int64{4}, nil},
		{"the entry lost its state", func() { first.forgetsAnnouncement = true }, false, []int64{0, 5, 6}, nil},
		{"the entry is down", func() { first.down = true }, false, nil, []int64{8}},
		{"renewal at the fallback while the entry is down", func() {}, false, nil, []int64{9}},
		{"the entry is back", func() { first.down, first.forgetsAnnouncement = false, false }, false, []int64{10}, nil},
		{"leaving is announced in full", func() {}, true, []int64{11}, nil},
	}
	for _, step := range steps {
		step.prepare()
		first.received, second.received = nil, nil
		a.announce(t.Context(), step.leaving)
		if got := sequences(first.received); !slices.Equal(got, step.wantFirst) {
			t.Errorf("%s: the first entry received %v, want %v", step.name, got, step.wantFirst)
		}
		if got := sequences(second.received); !slices.Equal(got, step.wantSecond) {
			t.Errorf("%s: the fallback received %v, want %v", step.name, got, step.wantSecond)
		}
	}
}

// sequences returns the sequence numbers of messages, with a 0 before that of each renewal.
func sequences(messages []*wiregen.Announcement) []int64 {
	var list []int64
	for _, m := range messages {
		if m.GetRenews() > 0 {
			list = append(list, 0)
		}
		list = append(list, m.GetSequence())
	}
	return list
}

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

// holder is an entry that takes announcements and may end or forget.
type holder struct {
	mu      sync.Mutex
	taken   []*wiregen.Announcement
	ended   bool
	forgets bool
}

func (h *holder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, _ := io.ReadAll(r.Body)
	m := &wiregen.Announcement{}
	if h.ended || wire.DecodeJSON(b, m) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.taken = append(h.taken, m)
	if m.GetRenews() > 0 && !h.forgets {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, _ = protojson.Marshal(&wiregen.AnnouncementReply{LeaseMillis: 3000, WantsWhole: m.GetRenews() > 0})
	_, _ = w.Write(b)
}

func TestAnnouncer(t *testing.T) {
	var holders [2]holder
	listed := NewDirectory()
	var addresses []string
	byAddress := map[string]*holder{}
	for i := range holders {
		server := httptest.NewServer(&holders[i])
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		addresses = append(addresses, address)
		byAddress[address] = &holders[i]
	}
	entries := httptest.NewServer(listed.Handler())
	t.Cleanup(entries.Close)
	client := directory.New(entries.Listener.Addr().String(), http.DefaultClient)
	for _, address := range addresses {
		if err := client.Publish(t.Context(), membership.Entry{Name: address, Region: "lahore", EndpointAddress: address}); err != nil {
			t.Fatal(err)
		}
	}
	order := membership.Rendezvous("engine", addresses, announceEntries)
	first, second := byAddress[order[0]], byAddress[order[1]]
	var models, loading []string
	a := newAnnouncer(client, "lahore", func() *wiregen.Announcement {
		return &wiregen.Announcement{Name: "engine", Region: "lahore", Models: models, Loading: loading, Load: &wiregen.LoadReport{Running: 3}}
	})
	steps := []struct {
		name    string
		prepare func()
		leaving bool
		// want are the sequences of the messages to the two entries, and 0 before a renewal.
		wantFirst, wantSecond []int64
	}{
		{"whole to one entry", func() {}, false, []int64{1}, nil},
		{"renewal", func() {}, false, []int64{0, 2}, nil},
		{"changed models go whole", func() { models = []string{"b"} }, false, []int64{3}, nil},
		{"models that are loaded go whole", func() { loading = []string{"c"} }, false, []int64{4}, nil},
		{"the entry forgot", func() { first.forgets = true }, false, []int64{0, 5, 6}, nil},
		{"the entry ended", func() { first.ended = true }, false, nil, []int64{8}},
		{"the fall-back holds while the entry is away", func() {}, false, nil, []int64{9}},
		{"the entry is back", func() { first.ended, first.forgets = false, false }, false, []int64{10}, nil},
		{"leaving goes whole", func() {}, true, []int64{11}, nil},
	}
	for _, step := range steps {
		step.prepare()
		first.taken, second.taken = nil, nil
		a.announce(t.Context(), step.leaving)
		if got := sequences(first.taken); !slices.Equal(got, step.wantFirst) {
			t.Errorf("%s: the first entry took %v, want %v", step.name, got, step.wantFirst)
		}
		if got := sequences(second.taken); !slices.Equal(got, step.wantSecond) {
			t.Errorf("%s: the fall-back took %v, want %v", step.name, got, step.wantSecond)
		}
	}
}

// sequences returns the sequences of messages, after a 0 for each renewal.
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

package standin

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// directoryTTL is how long an entry stays listed after its last publication.
const directoryTTL = 3 * time.Second

// listing is a published entry with its expiry time.
type listing struct {
	entry   *wiregen.EntryAdvert
	expires time.Time
}

// Directory emulates the directory of entries.
type Directory struct {
	mu       sync.Mutex
	listings map[string]listing
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{listings: map[string]listing{}} }

// Handler serves publication, removal and listing of entries.
func (d *Directory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/entries/{name}", d.put)
	mux.HandleFunc("DELETE /v1/entries/{name}", d.remove)
	mux.HandleFunc("GET /v1/entries", d.list)
	return mux
}

func (d *Directory) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m := &wiregen.EntryAdvert{}
	if err := wire.DecodeJSON(b, m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listings[r.PathValue("name")] = listing{entry: m, expires: time.Now().Add(directoryTTL)}
}

func (d *Directory) remove(_ http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.listings, r.PathValue("name"))
}

func (d *Directory) list(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &wiregen.EntriesReply{}
	for _, l := range d.listings {
		if time.Now().Before(l.expires) {
			reply.Entries = append(reply.Entries, l.entry)
		}
	}
	slices.SortFunc(reply.Entries, func(a, b *wiregen.EntryAdvert) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	b, err := protojson.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}

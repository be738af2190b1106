package standin

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// maxOrderBytes is the largest order.
const maxOrderBytes = 64 << 10

// Reasons for which an engine refuses an order.
const (
	reasonOtherEndpoint  = "otherEndpoint"
	reasonOldNumber      = "oldNumber"
	reasonDeadlinePassed = "deadlinePassed"
)

// AppliedOrder is an order that an engine applied.
type AppliedOrder struct {
	Term     int64    `json:"term"`
	Sequence int64    `json:"sequence"`
	Models   []string `json:"models"`
}

// orders is the part of an engine that obeys orders.
type orders struct {
	mu      sync.Mutex
	gate    fencing.Gate
	applied []AppliedOrder
}

// takeOrder applies an order to change the models, unless it is void or bears an old number and the engine checks.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		return
	}
	m := &wiregen.EngineOrder{}
	if err := wire.DecodeJSON(b, m); err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	reason := e.refuseOrder(m, time.Since(received))
	if reason == "" {
		e.change(m)
	}
	reply, err := protojson.Marshal(&wiregen.EngineOrderReply{Applied: reason == "", Reason: reason, Term: m.GetTerm(), Sequence: m.GetSequence()})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

// refuseOrder returns why an order is refused, or "" after noting it as applied.
func (e *Engine) refuseOrder(m *wiregen.EngineOrder, age time.Duration) string {
	if m.GetEndpoint() != e.cfg.Name {
		return reasonOtherEndpoint
	}
	if age > time.Duration(m.GetDeadlineMillis())*time.Millisecond {
		return reasonDeadlinePassed
	}
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	if e.cfg.ChecksFencing {
		gate, ok := e.orders.gate.Accept(fencing.Number{Term: m.GetTerm(), Sequence: m.GetSequence()})
		if !ok {
			return reasonOldNumber
		}
		e.orders.gate = gate
	}
	e.orders.applied = append(e.orders.applied, AppliedOrder{Term: m.GetTerm(), Sequence: m.GetSequence(), Models: m.GetModels()})
	return ""
}

// change gives up what the order leaves out at once, and serves what it adds when the weight store has served all of it.
func (e *Engine) change(m *wiregen.EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes++
	change := e.changes
	e.number = fencing.Number{Term: m.GetTerm(), Sequence: m.GetSequence()}
	e.models = kept(e.models, m.GetModels())
	e.loading = slices.DeleteFunc(slices.Clone(m.GetModels()), func(name string) bool { return slices.Contains(e.models, name) })
	if len(e.loading) == 0 {
		return
	}
	time.AfterFunc(e.loadTime(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.changes == change {
			e.models = slices.Clone(m.GetModels())
			e.loading = nil
		}
	})
}

// loadTime returns the time in which the weight store serves all that is being loaded, one after another.
func (e *Engine) loadTime() time.Duration {
	var total time.Duration
	for _, name := range e.loading {
		if inventory.ParseName(name).Adapter != "" {
			total += e.cfg.AdapterLoadTime
		} else {
			total += e.cfg.LoadTime
		}
	}
	return total
}

// kept returns what is held and ordered; an adapter goes with the version of its model that it was loaded on.
func kept(held, ordered []string) []string {
	left := slices.DeleteFunc(slices.Clone(held), func(name string) bool { return !slices.Contains(ordered, name) })
	return slices.DeleteFunc(left, func(name string) bool {
		n := inventory.ParseName(name)
		return n.Adapter != "" && !slices.ContainsFunc(left, func(other string) bool { return isModel(other, n.Model) })
	})
}

// isModel reports whether a held name is the model, in any version.
func isModel(held, model string) bool {
	n := inventory.ParseName(held)
	return n.Model == model && n.Adapter == ""
}

// servedNames returns the names that requests may ask for.
func servedNames(held []string) []string {
	names := slices.Clone(held)
	for i, name := range names {
		names[i] = inventory.ParseName(name).Served()
	}
	return names
}

// versionsOf returns the held names that bear a version.
func versionsOf(held []string) []string {
	return slices.DeleteFunc(slices.Clone(held), func(name string) bool { return inventory.ParseName(name).Version == "" })
}

// serves reports whether the engine holds the name now; one that was started without models serves any.
func (e *Engine) serves(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cfg.Models) == 0 || slices.Contains(servedNames(e.models), name)
}

// AppliedOrders returns the orders that were applied, oldest first.
func (e *Engine) AppliedOrders() []AppliedOrder {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]AppliedOrder{}, e.orders.applied...)
}

// listOrders answers the orders that were applied.
func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.AppliedOrders())
}

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

// maxOrderBytes is the limit of the body of an order.
const maxOrderBytes = 64 << 10

// Reasons for refusing an order.
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

// orderLog is the fencing state of an engine and its applied orders.
type orderLog struct {
	mu      sync.Mutex
	fence   fencing.Gate
	applied []AppliedOrder
}

// handleOrder applies an order that changes the models. It refuses orders for other endpoints, orders past their
// deadline and, if the engine checks fencing, orders with a stale fencing token.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	reason := e.acceptOrder(m, time.Since(received))
	if reason == "" {
		e.applyOrder(m)
	}
	reply, err := protojson.Marshal(&wiregen.EngineOrderReply{
		Applied:  reason == "",
		Reason:   reason,
		Term:     m.GetTerm(),
		Sequence: m.GetSequence(),
	})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

// acceptOrder returns the reason to refuse an order, or "" after recording it as applied.
func (e *Engine) acceptOrder(m *wiregen.EngineOrder, age time.Duration) string {
	if m.GetEndpoint() != e.cfg.Name {
		return reasonOtherEndpoint
	}
	if age > time.Duration(m.GetDeadlineMillis())*time.Millisecond {
		return reasonDeadlinePassed
	}
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	if e.cfg.ChecksFencing {
		gate, ok := e.orders.fence.Accept(fencing.Number{Term: m.GetTerm(), Sequence: m.GetSequence()})
		if !ok {
			return reasonOldNumber
		}
		e.orders.fence = gate
	}
	e.orders.applied = append(e.orders.applied, AppliedOrder{
		Term:     m.GetTerm(),
		Sequence: m.GetSequence(),
		Models:   m.GetModels(),
	})
	return ""
}

// applyOrder unloads at once the models that the order omits, and serves the added ones when all of them have been
// loaded from the weight store.
func (e *Engine) applyOrder(m *wiregen.EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changeCount++
	number := e.changeCount
	e.lastOrder = fencing.Number{Term: m.GetTerm(), Sequence: m.GetSequence()}
	e.models = retainModels(e.models, m.GetModels())
	e.loading = slices.DeleteFunc(slices.Clone(m.GetModels()), func(name string) bool {
		return slices.Contains(e.models, name)
	})
	if len(e.loading) == 0 {
		return
	}
	time.AfterFunc(e.loadTime(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.changeCount == number {
			e.models = slices.Clone(m.GetModels())
			e.loading = nil
		}
	})
}

// loadTime returns the time in which the weight store serves all models being loaded, one after another.
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

// retainModels returns the loaded models that are ordered; an adapter is unloaded with the version of its model that it
// was loaded on.
func retainModels(loaded, ordered []string) []string {
	retained := slices.DeleteFunc(slices.Clone(loaded), func(name string) bool { return !slices.Contains(ordered, name) })
	return slices.DeleteFunc(retained, func(name string) bool {
		n := inventory.ParseName(name)
		return n.Adapter != "" && !slices.ContainsFunc(retained, func(other string) bool {
			return isBaseModel(other, n.Model)
		})
	})
}

// isBaseModel reports whether a loaded name is the model itself, in any version, and not an adapter.
func isBaseModel(name, model string) bool {
	n := inventory.ParseName(name)
	return n.Model == model && n.Adapter == ""
}

// servedNames returns the names under which requests can address the loaded models.
func servedNames(loaded []string) []string {
	names := slices.Clone(loaded)
	for i, name := range names {
		names[i] = inventory.ParseName(name).WithoutVersion()
	}
	return names
}

// versionedNames returns the loaded names that contain a version.
func versionedNames(loaded []string) []string {
	return slices.DeleteFunc(slices.Clone(loaded),
		func(name string) bool { return inventory.ParseName(name).Version == "" })
}

// serves reports whether the engine has loaded the model; an engine started without models serves any.
func (e *Engine) serves(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cfg.Models) == 0 || slices.Contains(servedNames(e.models), name)
}

// AppliedOrders returns the applied orders, oldest first.
func (e *Engine) AppliedOrders() []AppliedOrder {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]AppliedOrder{}, e.orders.applied...)
}

// listOrders responds with the applied orders.
func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.AppliedOrders())
}

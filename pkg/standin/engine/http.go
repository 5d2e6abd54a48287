package enginestandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// maxBodyBytes bounds a request body. Imports of KV blocks are the largest ones.
const maxBodyBytes = 64 << 20

// Handler returns the HTTP interface of the engine: that of the design page, section 7, and
// POST /admin/faults, POST /admin/crash?down_ms=N, GET /admin/counters and GET
// /admin/executions?id=X.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("GET /v1/cache", e.serveCache)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/kv/export", e.serveExport)
	mux.HandleFunc("POST /v1/kv/import", e.serveImport)
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	mux.HandleFunc("POST /admin/crash", e.serveCrash)
	mux.HandleFunc("GET /admin/counters", e.serveCounters)
	mux.HandleFunc("GET /admin/executions", e.serveExecutions)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body engine.CancelBody
	if !decode(w, r, &body) {
		return
	}
	e.cancelID(body.RequestID)
	reply(w, struct{}{})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, fault.New(fault.BadRequest, "parameter after is not a sequence number"))
		return
	}
	reply(w, e.waitForEvents(r.Context(), after))
}

// waitForEvents returns a batch as soon as it has events, or an empty one after eventPollLimit.
// A reader with a number of an earlier incarnation gets its batch at once.
func (e *Engine) waitForEvents(ctx context.Context, after uint64) engine.EventBatch {
	deadline := time.NewTimer(eventPollLimit)
	defer deadline.Stop()
	for {
		b, changed, next := e.readEvents(after)
		if len(b.Events) > 0 || after > b.Last {
			return b
		}
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-changed:
		case <-due:
		case <-deadline.C:
			return b
		case <-ctx.Done():
			return b
		case <-e.ctx.Done():
			return b
		}
	}
}

// readEvents returns the visible events. Last leaves out events that are not visible yet, so
// that readers don't take the delay for a loss.
func (e *Engine) readEvents(after uint64) (engine.EventBatch, <-chan struct{}, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, next := e.events.read(time.Now(), after)
	b := engine.EventBatch{Incarnation: e.incarnation, Events: events, Last: e.events.last}
	if !next.IsZero() {
		b.Last = min(after, e.events.last)
		if len(events) > 0 {
			b.Last = events[len(events)-1].Seq
		}
	}
	return b, e.events.wait(), next
}

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engine.CacheSnapshot{Incarnation: e.incarnation, Seq: e.events.last, Keys: e.batch.cache.keys()}
	e.mu.Unlock()
	reply(w, s)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	lag := e.config.LoadLag
	if e.faults.LoadLagMS > 0 {
		lag = time.Duration(e.faults.LoadLagMS) * time.Millisecond
	}
	l := e.loads.at(time.Now().Add(-lag))
	l.Incarnation = e.incarnation
	l.CacheBlocks = e.config.CacheBlocks
	e.mu.Unlock()
	reply(w, l)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engine.State{
		ID:             e.config.ID,
		Incarnation:    e.incarnation,
		Model:          e.weights.model,
		WeightsVersion: e.weights.version,
		Adapters:       e.weights.adapters,
		Role:           e.role,
		FencingToken:   e.fencing,
		Loading:        e.loading,
		Leaving:        e.leaving,
		CacheBlocks:    e.config.CacheBlocks,
		MaxBatch:       e.config.MaxBatch,
	}
	e.mu.Unlock()
	reply(w, s)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	if err := e.order(o); err != nil {
		refuse(w, err)
		return
	}
	reply(w, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body engine.ExportBody
	if !decode(w, r, &body) {
		return
	}
	blocks, err := e.export(body.Keys)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, blocks)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blocks engine.KVBlocks
	if !decode(w, r, &blocks) {
		return
	}
	if err := e.importBlocks(blocks); err != nil {
		refuse(w, err)
		return
	}
	reply(w, struct{}{})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	e.SetFaults(f)
	reply(w, struct{}{})
}

func (e *Engine) serveCrash(w http.ResponseWriter, r *http.Request) {
	down, err := strconv.Atoi("0" + r.URL.Query().Get("down_ms"))
	if err != nil {
		refuse(w, fault.New(fault.BadRequest, "parameter down_ms is not a number"))
		return
	}
	reply(w, struct{}{})
	_ = http.NewResponseController(w).Flush()
	e.CrashFor(time.Duration(down) * time.Millisecond)
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) { reply(w, e.Counters()) }

func (e *Engine) serveExecutions(w http.ResponseWriter, r *http.Request) {
	reply(w, e.Executions(r.URL.Query().Get("id")))
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		refuse(w, fault.New(fault.BadRequest, "unreadable body: %v", err))
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// refuse answers with the status that the design page gives to the refusal.
func refuse(w http.ResponseWriter, err error) {
	known := fault.As(err)
	status := http.StatusInternalServerError
	switch known.Kind {
	case fault.BadRequest:
		status = http.StatusBadRequest
	case fault.EngineRefused:
		status = http.StatusConflict
	case fault.Overloaded:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	var body engine.ErrorBody
	body.Error.Message = known.Message
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isChat reports whether a request uses the chat interface.
func isChat(r *http.Request) bool { return strings.Contains(r.URL.Path, "/chat/") }

// newID names a request that came without an id.
func (e *Engine) newID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s-%016x", e.config.ID, e.random.Uint64())
}

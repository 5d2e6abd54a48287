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

// maxBodyBytes is the maximum size of a request body. Imports of KV blocks have the largest bodies.
const maxBodyBytes = 64 << 20

// Handler returns the HTTP interface of the engine: the one specified in docs/design.md, section 7,
// and the test controls POST /admin/faults, POST /admin/crash?down_ms=N, GET /admin/counters and
// GET /admin/executions?id=X.
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
	if !decodeBody(w, r, &body) {
		return
	}
	e.cancelID(body.RequestID)
	writeJSON(w, struct{}{})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, fault.New(fault.BadRequest, "parameter after is not a sequence number"))
		return
	}
	writeJSON(w, e.waitForEvents(r.Context(), after))
}

// waitForEvents returns a batch as soon as it has events, or an empty batch after
// maxEventPollDuration. It returns at once if after is larger than the last sequence number, which
// happens when the reader's number is from an earlier incarnation.
func (e *Engine) waitForEvents(ctx context.Context, after uint64) engine.EventBatch {
	deadline := time.NewTimer(maxEventPollDuration)
	defer deadline.Stop()
	for {
		batch, added, next := e.readEvents(after)
		if len(batch.Events) > 0 || after > batch.Last {
			return batch
		}
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-added:
		case <-due:
		case <-deadline.C:
			return batch
		case <-ctx.Done():
			return batch
		case <-e.ctx.Done():
			return batch
		}
	}
}

// readEvents returns the visible events after a sequence number, a channel that is closed when an
// event is added, and the time at which the next event becomes visible (zero if there is none).
// EventBatch.Last excludes events that are not visible yet, so that readers do not treat them as
// lost.
func (e *Engine) readEvents(after uint64) (engine.EventBatch, <-chan struct{}, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, next := e.events.read(time.Now(), after)
	batch := engine.EventBatch{Incarnation: e.incarnation, Events: events, Last: e.events.lastSeq}
	if !next.IsZero() {
		batch.Last = min(after, e.events.lastSeq)
		if len(events) > 0 {
			batch.Last = events[len(events)-1].Seq
		}
	}
	return batch, e.events.waitForEntry(), next
}

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	snapshot := engine.CacheSnapshot{Incarnation: e.incarnation, Seq: e.events.lastSeq, Keys: e.batch.cache.keys()}
	e.mu.Unlock()
	writeJSON(w, snapshot)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	lag := e.config.LoadLag
	if e.faults.LoadLagMS > 0 {
		lag = time.Duration(e.faults.LoadLagMS) * time.Millisecond
	}
	load := e.loads.at(time.Now().Add(-lag))
	load.Incarnation = e.incarnation
	load.CacheBlocks = e.config.CacheBlocks
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := engine.State{
		ID:             e.config.ID,
		Incarnation:    e.incarnation,
		Model:          e.weights.model,
		WeightsVersion: e.weights.version,
		Adapters:       e.weights.adapters,
		Role:           e.role,
		FencingToken:   e.fencingToken,
		Loading:        e.loading,
		Leaving:        e.leaving,
		CacheBlocks:    e.config.CacheBlocks,
		MaxBatch:       e.config.MaxBatch,
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !decodeBody(w, r, &order) {
		return
	}
	if err := e.applyOrder(order); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body engine.ExportBody
	if !decodeBody(w, r, &body) {
		return
	}
	blocks, err := e.exportBlocks(body.Keys)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, blocks)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blocks engine.KVBlocks
	if !decodeBody(w, r, &blocks) {
		return
	}
	if err := e.importBlocks(blocks); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	e.SetFaults(f)
	writeJSON(w, struct{}{})
}

func (e *Engine) serveCrash(w http.ResponseWriter, r *http.Request) {
	down, err := strconv.Atoi("0" + r.URL.Query().Get("down_ms"))
	if err != nil {
		writeError(w, fault.New(fault.BadRequest, "parameter down_ms is not a number"))
		return
	}
	writeJSON(w, struct{}{})
	_ = http.NewResponseController(w).Flush()
	e.CrashFor(time.Duration(down) * time.Millisecond)
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counters()) }

func (e *Engine) serveExecutions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.Executions(r.URL.Query().Get("id")))
}

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		writeError(w, fault.New(fault.BadRequest, "unreadable body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes err as an ErrorBody, with the HTTP status that docs/design.md assigns to the kind
// of the error.
func writeError(w http.ResponseWriter, err error) {
	failure := fault.As(err)
	status := http.StatusInternalServerError
	switch failure.Kind {
	case fault.BadRequest:
		status = http.StatusBadRequest
	case fault.EngineRefused:
		status = http.StatusConflict
	case fault.Overloaded:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	var body engine.ErrorBody
	body.Error.Message = failure.Message
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isChat reports whether r is a request for a chat completion.
func isChat(r *http.Request) bool { return strings.Contains(r.URL.Path, "/chat/") }

// newID returns a random id for a request that has none.
func (e *Engine) newID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s-%016x", e.config.ID, e.random.Uint64())
}

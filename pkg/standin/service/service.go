// Package service emulates a backend server of a plain service. It counts how often each request was
// executed and injects the faults of real servers: refusals, slow responses, crashes after execution
// and lost responses.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Faults are the faults that a Server injects; the zero value injects none. A share is the probability
// of a fault for each request, from 0 to 1.
type Faults struct {
	// RefuseShare is the share of requests refused with status 503 and the header X-Work: not_run,
	// which states that the request was not executed.
	RefuseShare float64 `json:"refuse"`
	// RefuseWithoutWorkShare is the share of requests refused with status 503 without the header
	// X-Work. They are not executed either, but the client cannot detect it.
	RefuseWithoutWorkShare float64 `json:"refuse_silently"`
	// CrashAfterExecutionShare is the share of requests that crash the server: the request is
	// executed but its connection is closed without a response, and from its arrival on the
	// server closes the connection of every new request for CrashDuration. Requests that are
	// already running complete.
	CrashAfterExecutionShare float64       `json:"crash_after_run"`
	CrashDuration            time.Duration `json:"crash_for_ns"`
	// LostResponseShare is the share of requests that are executed but whose connection is closed
	// without a response.
	LostResponseShare float64 `json:"lose_answer"`
	// ExecutionDelay is the time that an execution takes.
	ExecutionDelay time.Duration `json:"delay_ns"`
	// PaddingBytes is the size of Response.Padding.
	PaddingBytes int `json:"answer_bytes"`
}

// Executions counts the requests that the servers of a Ledger have executed.
type Executions struct {
	// Total counts all executions, ByRequest those of each X-Request-Id and ByKey those of each
	// Idempotency-Key.
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// Response is the body of a response.
type Response struct {
	// Execution is the number of the execution within the ledger, counted from 1.
	Execution int    `json:"run"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Bytes is the size of the request body.
	Bytes   int    `json:"bytes"`
	Padding string `json:"padding,omitempty"`
}

// Ledger counts executions. The servers of one service share a ledger.
type Ledger struct {
	mu         sync.Mutex
	executions Executions
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: Executions{ByRequest: map[string]int{}, ByKey: map[string]int{}}}
}

// record counts an execution and returns its number. An empty key is not counted by key.
func (l *Ledger) record(requestID, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions.Total++
	l.executions.ByRequest[requestID]++
	if key != "" {
		l.executions.ByKey[key]++
	}
	return l.executions.Total
}

// Executions returns a copy of the counts.
func (l *Ledger) Executions() Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Executions{Total: l.executions.Total, ByRequest: maps.Clone(l.executions.ByRequest), ByKey: maps.Clone(l.executions.ByKey)}
}

// DuplicateExecutions returns the number of idempotency keys that were executed more than once.
func (l *Ledger) DuplicateExecutions() int {
	duplicates := 0
	for _, n := range l.Executions().ByKey {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Server is one backend server. It executes requests for every path, except for the test controls
// GET /admin/runs and POST /admin/faults.
type Server struct {
	ledger *Ledger

	mu        sync.Mutex
	faults    Faults
	random    *rand.Rand
	downUntil time.Time
}

// New returns a server without faults that counts executions in ledger. The seed determines which
// requests random faults affect.
func New(ledger *Ledger, seed uint64) *Server {
	return &Server{ledger: ledger, random: rand.New(rand.NewPCG(seed, 0))}
}

// SetFaults replaces the faults and ends a crash.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.downUntil = time.Time{}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/runs":
		writeJSON(w, s.ledger.Executions())
	case "POST /admin/faults":
		s.serveFaults(w, r)
	default:
		s.serve(w, r)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// requestFaults are the faults that affect one request.
type requestFaults struct {
	settings                                      Faults
	down, refuse, refuseWithoutWork, loseResponse bool
}

// drawFaults draws the faults of the next request at random and starts a crash if one is drawn.
func (s *Server) drawFaults() requestFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	drawn := requestFaults{settings: f, down: time.Now().Before(s.downUntil)}
	drawn.refuse = s.random.Float64() < f.RefuseShare
	drawn.refuseWithoutWork = s.random.Float64() < f.RefuseWithoutWorkShare
	drawn.loseResponse = s.random.Float64() < f.LostResponseShare
	if !drawn.down && !drawn.refuse && !drawn.refuseWithoutWork && s.random.Float64() < f.CrashAfterExecutionShare {
		drawn.loseResponse = true
		s.downUntil = time.Now().Add(f.CrashDuration)
	}
	return drawn
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	drawn := s.drawFaults()
	switch {
	case drawn.down:
		panic(http.ErrAbortHandler)
	case drawn.refuse:
		w.Header().Set("X-Work", string(fault.NotRun))
		w.Header().Set(fault.HeaderRetryAfter, "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case drawn.refuseWithoutWork:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(fault.HeaderRequestID)
	execution := s.ledger.record(id, r.Header.Get("Idempotency-Key"))
	time.Sleep(drawn.settings.ExecutionDelay)
	if drawn.loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Run", strconv.Itoa(execution))
	writeJSON(w, Response{Execution: execution, RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body), Padding: string(make([]byte, drawn.settings.PaddingBytes))})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

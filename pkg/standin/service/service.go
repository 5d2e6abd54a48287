// Package service is a stand-in for a plain backend server. It counts how often each request ran
// and produces the faults of real ones: refusals, slowness, crashes after the work was done and
// lost answers.
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

// maxBodyBytes bounds a request body.
const maxBodyBytes = 16 << 20

// Faults are the faults that a Server produces. Shares lie between 0 and 1; a share of 1 makes
// the fault certain.
type Faults struct {
	// Refuse is the share of requests answered with 503 and X-Work: not_run, without a run.
	RefuseShare float64 `json:"refuse"`
	// RefuseSilently is the share answered with 503 that does not say whether the request ran.
	// It did not.
	RefuseWithoutWorkShare float64 `json:"refuse_silently"`
	// CrashAfterRun is the share of requests after whose run the server closes all connections
	// and serves nothing for CrashFor.
	CrashAfterExecutionShare float64       `json:"crash_after_run"`
	CrashDuration            time.Duration `json:"crash_for_ns"`
	// LoseAnswer is the share of requests whose connection is closed after the run.
	LostResponseShare float64 `json:"lose_answer"`
	// Delay is the time that a run takes.
	ExecutionDelay time.Duration `json:"delay_ns"`
	// AnswerBytes is the size of the answer's padding.
	PaddingBytes int `json:"answer_bytes"`
}

// Runs is what a Server has run.
type Executions struct {
	// Total counts all runs, ByRequest those of each X-Request-Id and ByKey those of each
	// Idempotency-Key.
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// Answer is the body of an answer.
type Response struct {
	Execution int    `json:"run"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Bytes is the size of the request body.
	Bytes   int    `json:"bytes"`
	Padding string `json:"padding,omitempty"`
}

// Ledger counts runs. Several servers of one service share a ledger.
type Ledger struct {
	mu         sync.Mutex
	executions Executions
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executions: Executions{ByRequest: map[string]int{}, ByKey: map[string]int{}}}
}

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

// Runs returns a copy of the counts.
func (l *Ledger) Executions() Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Executions{Total: l.executions.Total, ByRequest: maps.Clone(l.executions.ByRequest), ByKey: maps.Clone(l.executions.ByKey)}
}

// DoubleRuns returns the number of idempotency keys that ran more than once.
func (l *Ledger) DuplicateExecutions() int {
	duplicates := 0
	for _, n := range l.Executions().ByKey {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Server is one backend server. It serves every path except GET /admin/runs and
// POST /admin/faults.
type Server struct {
	ledger *Ledger

	mu        sync.Mutex
	faults    Faults
	random    *rand.Rand
	downUntil time.Time
}

// New returns a server that counts in ledger and whose random faults follow seed.
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

// ServeHTTP serves a request.
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

// plan is the fate of one request.
type requestFaults struct {
	settings                                      Faults
	down, refuse, refuseWithoutWork, loseResponse bool
}

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

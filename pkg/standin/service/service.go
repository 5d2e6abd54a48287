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
	Refuse float64 `json:"refuse"`
	// RefuseSilently is the share answered with 503 that does not say whether the request ran.
	// It did not.
	RefuseSilently float64 `json:"refuse_silently"`
	// CrashAfterRun is the share of requests after whose run the server closes all connections
	// and serves nothing for CrashFor.
	CrashAfterRun float64       `json:"crash_after_run"`
	CrashFor      time.Duration `json:"crash_for_ns"`
	// LoseAnswer is the share of requests whose connection is closed after the run.
	LoseAnswer float64 `json:"lose_answer"`
	// Delay is the time that a run takes.
	Delay time.Duration `json:"delay_ns"`
	// AnswerBytes is the size of the answer's padding.
	AnswerBytes int `json:"answer_bytes"`
}

// Runs is what a Server has run.
type Runs struct {
	// Total counts all runs, ByRequest those of each X-Request-Id and ByKey those of each
	// Idempotency-Key.
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// Answer is the body of an answer.
type Answer struct {
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Bytes is the size of the request body.
	Bytes   int    `json:"bytes"`
	Padding string `json:"padding,omitempty"`
}

// Ledger counts runs. Several servers of one service share a ledger.
type Ledger struct {
	mu   sync.Mutex
	runs Runs
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: Runs{ByRequest: map[string]int{}, ByKey: map[string]int{}}}
}

func (l *Ledger) run(requestID, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.Total++
	l.runs.ByRequest[requestID]++
	if key != "" {
		l.runs.ByKey[key]++
	}
	return l.runs.Total
}

// Runs returns a copy of the counts.
func (l *Ledger) Runs() Runs {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Runs{Total: l.runs.Total, ByRequest: maps.Clone(l.runs.ByRequest), ByKey: maps.Clone(l.runs.ByKey)}
}

// DoubleRuns returns the number of idempotency keys that ran more than once.
func (l *Ledger) DoubleRuns() int {
	doubles := 0
	for _, n := range l.Runs().ByKey {
		if n > 1 {
			doubles++
		}
	}
	return doubles
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
		writeJSON(w, s.ledger.Runs())
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
type plan struct {
	faults                       Faults
	down, refuse, silently, lose bool
}

func (s *Server) plan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	p := plan{faults: f, down: time.Now().Before(s.downUntil)}
	p.refuse = s.random.Float64() < f.Refuse
	p.silently = s.random.Float64() < f.RefuseSilently
	p.lose = s.random.Float64() < f.LoseAnswer
	if !p.down && !p.refuse && !p.silently && s.random.Float64() < f.CrashAfterRun {
		p.lose = true
		s.downUntil = time.Now().Add(f.CrashFor)
	}
	return p
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p := s.plan()
	switch {
	case p.down:
		panic(http.ErrAbortHandler)
	case p.refuse:
		w.Header().Set("X-Work", string(fault.NotRun))
		w.Header().Set(fault.HeaderRetryAfter, "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case p.silently:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(fault.HeaderRequestID)
	run := s.ledger.run(id, r.Header.Get("Idempotency-Key"))
	time.Sleep(p.faults.Delay)
	if p.lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Run", strconv.Itoa(run))
	writeJSON(w, Answer{Run: run, RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body), Padding: string(make([]byte, p.faults.AnswerBytes))})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

package enginestandin

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Execution describes one execution of a request in one engine.
type Execution struct {
	RequestID      string    `json:"request_id"`
	Engine         string    `json:"engine"`
	Incarnation    string    `json:"incarnation"`
	ArrivedAt      time.Time `json:"arrived_at"`
	StartedAt      time.Time `json:"started_at"`
	FirstTokenAt   time.Time `json:"first_token_at"`
	EndedAt        time.Time `json:"ended_at"`
	ReusedTokens   int       `json:"reused_tokens"`
	ComputedTokens int       `json:"computed_tokens"`
	DecodedTokens  int       `json:"decoded_tokens"`
	// Outcome is "running", "complete", "cancelled" or "crashed".
	Outcome string `json:"outcome"`
}

// Counters are the totals of an engine over all its incarnations.
type Counters struct {
	Requests int `json:"requests"`
	// ComputedTokens are prompt tokens computed by prefill, ReusedTokens prompt tokens read from
	// the cache and DecodedTokens generated tokens.
	ComputedTokens int `json:"computed_tokens"`
	ReusedTokens   int `json:"reused_tokens"`
	DecodedTokens  int `json:"decoded_tokens"`
	// CancelledTokens is the part of ComputedTokens and DecodedTokens that was spent on
	// requests that were then cancelled or lost in a crash.
	CancelledTokens int `json:"cancelled_tokens"`
	// BusyTime is the total duration of batch steps.
	BusyTime time.Duration `json:"busy_ns"`
	// RefusedRequests counts requests that the engine refused.
	RefusedRequests int `json:"refused_requests"`
}

// Ledger counts wasted work over all engines of a pool, which no single engine can detect: pieces
// that another engine had already computed, and work for clients that had already disconnected. A
// nil Ledger counts nothing.
type Ledger struct {
	mu               sync.Mutex
	computedPieces   map[contentKey]struct{}
	requests         map[uint64]*ledgerRequest
	recomputed       atomic.Int64
	afterAbandonment atomic.Int64
	total            atomic.Int64
}

// ledgerRequest records whether the client of a request has disconnected.
type ledgerRequest struct{ abandoned atomic.Bool }

// LedgerTotals are the totals of a Ledger, in tokens.
type LedgerTotals struct {
	// Total is the work of prefill and decode.
	Total int64
	// Recomputed is the prefill of pieces that an engine of the pool had computed before.
	Recomputed int64
	// AfterAbandonment is the work for requests whose clients had already disconnected.
	AfterAbandonment int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{computedPieces: map[contentKey]struct{}{}, requests: map[uint64]*ledgerRequest{}}
}

// MarkAbandoned records that the client of the request with this prompt has disconnected. The prompt
// identifies the request, so prompts must be unique within a ledger.
func (l *Ledger) MarkAbandoned(prompt string) { l.requestFor(prompt).abandoned.Store(true) }

// Remove discards the record of the request with this prompt, once the request has ended.
func (l *Ledger) Remove(prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, xxhash.Sum64String(prompt))
}

// Totals returns the totals so far.
func (l *Ledger) Totals() LedgerTotals {
	return LedgerTotals{
		Total:            l.total.Load(),
		Recomputed:       l.recomputed.Load(),
		AfterAbandonment: l.afterAbandonment.Load(),
	}
}

// requestFor returns the record of the request with this prompt and creates it if necessary. It
// returns nil if l is nil.
func (l *Ledger) requestFor(prompt string) *ledgerRequest {
	if l == nil {
		return nil
	}
	key := xxhash.Sum64String(prompt)
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.requests[key]
	if request == nil {
		request = &ledgerRequest{}
		l.requests[key] = request
	}
	return request
}

func (l *Ledger) recordPrefill(request *ledgerRequest, tokens int) {
	if l == nil {
		return
	}
	l.total.Add(int64(tokens))
	if request.abandoned.Load() {
		l.afterAbandonment.Add(int64(tokens))
	}
}

func (l *Ledger) recordDecode(request *ledgerRequest) { l.recordPrefill(request, 1) }

// recordComputedPiece counts p as recomputed if an engine of the pool has computed it before.
func (l *Ledger) recordComputedPiece(p *piece) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, computed := l.computedPieces[p.contentKey]; computed {
		l.recomputed.Add(int64(p.tokens))
		return
	}
	l.computedPieces[p.contentKey] = struct{}{}
}

package enginestandin

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Execution is one run of a request in one engine.
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

// Counters sum up the work of an engine over all its incarnations.
type Counters struct {
	Requests int `json:"requests"`
	// ComputedTokens and DecodedTokens are of prefill and decode.
	ComputedTokens int `json:"computed_tokens"`
	ReusedTokens   int `json:"reused_tokens"`
	DecodedTokens  int `json:"decoded_tokens"`
	// CancelledTokens is the part of ComputedTokens and DecodedTokens that was spent on
	// requests that were cancelled or lost in a crash.
	CancelledTokens int `json:"cancelled_tokens"`
	// BusyTime is the time spent in batch steps.
	BusyTime time.Duration `json:"busy_ns"`
	// RefusedRequests counts requests that the engine did not take.
	RefusedRequests int `json:"refused_requests"`
}

// Ledger counts work over the engines of a pool that no single engine can see: pieces that were
// computed before somewhere, and work after the caller left. A nil Ledger counts nothing.
type Ledger struct {
	mu               sync.Mutex
	computedPieces   map[contentKey]struct{}
	requests         map[uint64]*ledgerRequest
	recomputed       atomic.Int64
	afterAbandonment atomic.Int64
	total            atomic.Int64
}

// mark tells whether the caller of a prompt has left.
type ledgerRequest struct{ abandoned atomic.Bool }

// LedgerTotals are the sums of a Ledger, in tokens.
type LedgerTotals struct {
	// Total is all prefill and decode work.
	Total int64
	// Recomputed is prefill of pieces that some engine of the pool had computed before.
	Recomputed int64
	// AfterAbandonment is work on requests whose callers had left already.
	AfterAbandonment int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{computedPieces: map[contentKey]struct{}{}, requests: map[uint64]*ledgerRequest{}}
}

// Abandon notes that the caller of the request with this prompt has left. Prompts must be
// unique over the requests of a ledger.
func (l *Ledger) MarkAbandoned(prompt string) { l.requestFor(prompt).abandoned.Store(true) }

// Forget drops the note of a prompt whose request has ended.
func (l *Ledger) Remove(prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, xxhash.Sum64String(prompt))
}

// Totals returns the sums so far.
func (l *Ledger) Totals() LedgerTotals {
	return LedgerTotals{
		Total:            l.total.Load(),
		Recomputed:       l.recomputed.Load(),
		AfterAbandonment: l.afterAbandonment.Load(),
	}
}

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

// stored notes that a piece was computed.
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

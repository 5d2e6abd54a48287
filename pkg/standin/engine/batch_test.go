package enginestandin

import (
	"container/heap"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
)

func newTestBatch(config Config) *batch {
	config.BlockTokens = 1000
	config = config.withDefaults()
	return &batch{config: &config, cache: newBlockCache(config.CacheBlocks*config.BlockTokens, func(cacheChangeKind, uint64) {})}
}

// newTestSequence returns a sequence of 100 output tokens with one piece of 1,000 tokens per content.
// Pieces of the same content share a content key.
func newTestSequence(id string, arrival uint64, contents ...byte) *sequence {
	s := &sequence{
		id: id, arrival: arrival, chunkTokens: 8, completion: newCompletion(id, 0, 100), wake: make(chan struct{}, 1),
		execution: Execution{Outcome: outcomeRunning},
	}
	for _, c := range contents {
		s.pieces = append(s.pieces, piece{contentKey: contentKey{c}, routingKey: uint64(c), tokens: 1000})
	}
	return s
}

func (b *batch) enqueue(s *sequence) { heap.Push(&b.waiting, s) }

// runSteps runs n steps and returns their total duration.
func (b *batch) runSteps(n int) time.Duration {
	var total time.Duration
	for range n {
		work, d := b.plan(time.Time{})
		b.apply(work, time.Time{}, nil)
		total += d
	}
	return total
}

// Guards against a batch model in which prefill does not slow down decoding requests, or decoding
// does not slow down prefill.
func TestPrefillAndDecodeShareStepTime(t *testing.T) {
	config := Config{StepTime: 10 * time.Millisecond, PrefillTokensPerSecond: 10_000, StepPrefillTokens: 500, DecodeTime: time.Millisecond}
	b := newTestBatch(config)
	b.enqueue(newTestSequence("decoder", 1, 1))
	assert.Equal(t, 2*(10+50)*time.Millisecond, b.runSteps(2))
	assert.Equal(t, (10+1)*time.Millisecond, b.runSteps(1))
	b.enqueue(newTestSequence("prefiller", 2, 2))
	assert.Equal(t, (10+1+50)*time.Millisecond, b.runSteps(1))
	b.runSteps(1)
	assert.Equal(t, (10+2)*time.Millisecond, b.runSteps(1))
}

// Guards against a queue that ignores priorities or the order of arrival at equal priority.
func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	b := newTestBatch(Config{MaxBatch: 2})
	low, high, next := newTestSequence("low", 1, 1), newTestSequence("high", 2, 2), newTestSequence("next", 3, 3)
	high.priority = 1
	b.enqueue(next)
	b.enqueue(low)
	b.enqueue(high)
	b.runSteps(1)
	require.Len(t, b.running, 2)
	assert.Equal(t, []*sequence{high, low}, b.running)
	assert.Equal(t, []*sequence{next}, []*sequence(b.waiting))
}

// Guards against eviction of blocks in use, eviction of a prefix before its extension, and a cache
// that exceeds its capacity.
func TestCacheEvictsUnusedTailsFirst(t *testing.T) {
	b := newTestBatch(Config{CacheBlocks: 4, StepPrefillTokens: 100_000})
	done := newTestSequence("done", 1, 1, 2)
	b.enqueue(done)
	b.runSteps(1)
	done.phase = cancelled
	b.removeEnded()
	running := newTestSequence("running", 2, 3, 4)
	b.enqueue(running)
	b.runSteps(1)
	third := newTestSequence("third", 3, 1, 5)
	b.enqueue(third)
	b.runSteps(1)
	assert.Equal(t, 1000, third.execution.ReusedTokens)
	assert.ElementsMatch(t, []uint64{1, 3, 4, 5}, b.cache.keys())

	blocked := newTestSequence("blocked", 4, 6)
	b.enqueue(blocked)
	b.runSteps(1)
	assert.Equal(t, queued, blocked.phase)
	running.phase = cancelled
	b.removeEnded()
	b.runSteps(1)
	assert.NotEqual(t, queued, blocked.phase)
	assert.Len(t, b.cache.blocks, 4)
}

// Guards against a request that blocks the queue forever because its prompt exceeds the cache.
func TestOversizedPromptRunsAlone(t *testing.T) {
	b := newTestBatch(Config{CacheBlocks: 2, StepPrefillTokens: 100_000})
	s := newTestSequence("big", 1, 1, 2, 3)
	b.enqueue(s)
	b.runSteps(200)
	assert.Equal(t, finished, s.phase)
	assert.LessOrEqual(t, len(b.cache.blocks), 2)
	assert.Zero(t, b.cache.pinned)
	assert.Zero(t, b.cache.reserved)
}

// Guards against a leak of pins and reservations when a request is cancelled during prefill.
func TestCancelledPrefillFreesItsBlocks(t *testing.T) {
	b := newTestBatch(Config{StepPrefillTokens: 1500})
	s := newTestSequence("s", 1, 1, 2, 3)
	b.enqueue(s)
	b.runSteps(1)
	s.phase = cancelled
	b.removeEnded()
	assert.Zero(t, b.cache.pinned)
	assert.Zero(t, b.cache.reserved)
	assert.Equal(t, []uint64{1}, b.cache.keys())
	assert.Empty(t, b.running)
}

// Guards against a load time that does not depend on the number of concurrent loads.
func TestLoaderSlowsDownOverItsLimit(t *testing.T) {
	l := NewLoader(2, time.Second)
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, 1500*time.Millisecond, l.begin())
	l.end()
	l.end()
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, 3, l.MaxConcurrent())
	assert.Equal(t, 4, l.Loads())
}

// getJSON calls an endpoint of the engine without a network and decodes the JSON response.
func getJSON[T any](t *testing.T, e *Engine, path string) T {
	t.Helper()
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
	var value T
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &value))
	return value
}

// Guards against load reports and events without the delay that those of the platform have.
func TestLoadAndEventReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{EventDelay: 200 * time.Millisecond, EventInterval: 100 * time.Millisecond, LoadLag: time.Second})
		defer func() { require.NoError(t, e.Close()) }()
		start := time.Now()
		_, err := e.submit(&parsedRequest{id: "r", model: "model", prompt: "prompt", maxTokens: 1000})
		require.NoError(t, err)

		batch := getJSON[engine.EventBatch](t, e, "/v1/events?after=0")
		assert.Len(t, batch.Events, 1)
		assert.Equal(t, 300*time.Millisecond, time.Since(start))
		assert.Zero(t, getJSON[engine.Load](t, e, "/v1/load").Running)
		time.Sleep(time.Second)
		assert.Equal(t, 1, getJSON[engine.Load](t, e, "/v1/load").Running)

		e.SetFaults(Faults{LoadLagMS: 2000})
		assert.Zero(t, getJSON[engine.Load](t, e, "/v1/load").Running)
		empty := getJSON[engine.EventBatch](t, e, "/v1/events?after=1")
		assert.Empty(t, empty.Events)
		assert.Equal(t, uint64(1), empty.Last)
	})
}

// Guards against a request that keeps running forever after its stream was cut.
func TestDetachedSequenceIsCancelledAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{DetachGrace: time.Second, StepTime: time.Minute})
		defer func() { require.NoError(t, e.Close()) }()
		r, err := e.submit(&parsedRequest{id: "r", model: "model", prompt: "prompt", maxTokens: 1000})
		require.NoError(t, err)
		e.detach(r)
		time.Sleep(999 * time.Millisecond)
		assert.Equal(t, outcomeRunning, e.Executions("r")[0].Outcome)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, "cancelled", e.Executions("r")[0].Outcome)
	})
}

// Guards against uncounted work when a request is cancelled during a step.
func TestStepOfCancelledRequestIsCounted(t *testing.T) {
	b := newTestBatch(Config{StepPrefillTokens: 100})
	l := NewLedger()
	s := newTestSequence("s", 1, 1)
	s.ledgerRequest = l.requestFor("prompt")
	b.enqueue(s)
	work, _ := b.plan(time.Time{})
	l.MarkAbandoned("prompt")
	s.phase = cancelled
	cancelledWork := b.apply(work, time.Time{}, l)
	assert.Equal(t, Counters{ComputedTokens: 100, CancelledTokens: 100}, cancelledWork)
	assert.Equal(t, LedgerTotals{Total: 100, AfterAbandonment: 100}, l.Totals())
}

// Guards against a ledger that does not count work for disconnected clients or recomputed pieces.
func TestLedgerCountsAbandonedAndRecomputedWork(t *testing.T) {
	l := NewLedger()
	request := l.requestFor("prompt")
	l.recordPrefill(request, 10)
	l.MarkAbandoned("prompt")
	l.recordPrefill(request, 5)
	l.recordDecode(request)
	p := &piece{contentKey: contentKey{1}, tokens: 7}
	l.recordComputedPiece(p)
	l.recordComputedPiece(p)
	assert.Equal(t, LedgerTotals{Total: 16, Recomputed: 7, AfterAbandonment: 6}, l.Totals())
}

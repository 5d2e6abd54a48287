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
	return &batch{config: &config, cache: newBlockCache(config.CacheBlocks*config.BlockTokens, func(cacheChange, uint64) {})}
}

// sequenceOf returns a sequence with pieces of 1,000 tokens named by contents.
func sequenceOf(id string, order uint64, contents ...byte) *sequence {
	s := &sequence{
		id: id, order: order, chunkTokens: 8, answer: newAnswer(id, 0, 100), wake: make(chan struct{}, 1),
		run: Execution{Outcome: outcomeRunning},
	}
	for _, c := range contents {
		s.pieces = append(s.pieces, piece{content: contentKey{c}, routing: uint64(c), tokens: 1000})
	}
	return s
}

func (b *batch) push(s *sequence) { heap.Push(&b.waiting, s) }

// steps runs n steps and returns the time that they took.
func (b *batch) steps(n int) time.Duration {
	var sum time.Duration
	for range n {
		work, d := b.plan(time.Time{})
		b.apply(work, time.Time{}, nil)
		sum += d
	}
	return sum
}

// Guards against a model in which prefill is free for requests that decode, or decode for
// requests in prefill.
func TestPrefillAndDecodeSlowEachOther(t *testing.T) {
	config := Config{StepTime: 10 * time.Millisecond, PrefillTokensPerSecond: 10_000, StepPrefillTokens: 500, DecodeTime: time.Millisecond}
	b := newTestBatch(config)
	b.push(sequenceOf("decoder", 1, 1))
	assert.Equal(t, 2*(10+50)*time.Millisecond, b.steps(2))
	assert.Equal(t, (10+1)*time.Millisecond, b.steps(1))
	b.push(sequenceOf("prefiller", 2, 2))
	assert.Equal(t, (10+1+50)*time.Millisecond, b.steps(1))
	b.steps(1)
	assert.Equal(t, (10+2)*time.Millisecond, b.steps(1))
}

// Guards against a queue that ignores priorities or reorders equals.
func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	b := newTestBatch(Config{MaxBatch: 2})
	low, high, next := sequenceOf("low", 1, 1), sequenceOf("high", 2, 2), sequenceOf("next", 3, 3)
	high.priority = 1
	b.push(next)
	b.push(low)
	b.push(high)
	b.steps(1)
	require.Len(t, b.running, 2)
	assert.Equal(t, []*sequence{high, low}, b.running)
	assert.Equal(t, []*sequence{next}, []*sequence(b.waiting))
}

// Guards against eviction of blocks in use, against evicting a prefix before its extension, and
// against a cache that grows past its memory.
func TestCacheEvictsUnusedTailsFirst(t *testing.T) {
	b := newTestBatch(Config{CacheBlocks: 4, StepPrefillTokens: 100_000})
	done := sequenceOf("done", 1, 1, 2)
	b.push(done)
	b.steps(1)
	done.phase = cancelled
	b.retire()
	running := sequenceOf("running", 2, 3, 4)
	b.push(running)
	b.steps(1)
	third := sequenceOf("third", 3, 1, 5)
	b.push(third)
	b.steps(1)
	assert.Equal(t, 1000, third.run.ReusedTokens)
	assert.ElementsMatch(t, []uint64{1, 3, 4, 5}, b.cache.keys())

	blocked := sequenceOf("blocked", 4, 6)
	b.push(blocked)
	b.steps(1)
	assert.Equal(t, queued, blocked.phase)
	running.phase = cancelled
	b.retire()
	b.steps(1)
	assert.NotEqual(t, queued, blocked.phase)
	assert.Len(t, b.cache.blocks, 4)
}

// Guards against a request that blocks its engine for good because its prompt exceeds the cache.
func TestOversizedPromptRunsAlone(t *testing.T) {
	b := newTestBatch(Config{CacheBlocks: 2, StepPrefillTokens: 100_000})
	s := sequenceOf("big", 1, 1, 2, 3)
	b.push(s)
	b.steps(200)
	assert.Equal(t, finished, s.phase)
	assert.LessOrEqual(t, len(b.cache.blocks), 2)
	assert.Zero(t, b.cache.inUse)
	assert.Zero(t, b.cache.reserved)
}

// Guards against pins and reservations that a request cancelled in prefill leaves behind.
func TestCancelledPrefillFreesItsBlocks(t *testing.T) {
	b := newTestBatch(Config{StepPrefillTokens: 1500})
	s := sequenceOf("s", 1, 1, 2, 3)
	b.push(s)
	b.steps(1)
	s.phase = cancelled
	b.retire()
	assert.Zero(t, b.cache.inUse)
	assert.Zero(t, b.cache.reserved)
	assert.Equal(t, []uint64{1}, b.cache.keys())
	assert.Empty(t, b.running)
}

// Guards against loads that take the same time however many run at once.
func TestLoaderSlowsDownOverItsLimit(t *testing.T) {
	l := NewLoader(2, time.Second)
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, 1500*time.Millisecond, l.begin())
	l.end()
	l.end()
	assert.Equal(t, time.Second, l.begin())
	assert.Equal(t, 3, l.Most())
	assert.Equal(t, 4, l.Loads())
}

// get calls an endpoint of the engine without a network.
func get[T any](t *testing.T, e *Engine, path string) T {
	t.Helper()
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
	var value T
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &value))
	return value
}

// Guards against load reports and events that are fresher than the platform's.
func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{EventDelay: 200 * time.Millisecond, EventInterval: 100 * time.Millisecond, LoadLag: time.Second})
		defer func() { require.NoError(t, e.Close()) }()
		begin := time.Now()
		_, err := e.submit(&submission{id: "r", model: "model", prompt: "prompt", maxTokens: 1000})
		require.NoError(t, err)

		batch := get[engine.EventBatch](t, e, "/v1/events?after=0")
		assert.Len(t, batch.Events, 1)
		assert.Equal(t, 300*time.Millisecond, time.Since(begin))
		assert.Zero(t, get[engine.Load](t, e, "/v1/load").Running)
		time.Sleep(time.Second)
		assert.Equal(t, 1, get[engine.Load](t, e, "/v1/load").Running)

		e.SetFaults(Faults{LoadLagMS: 2000})
		assert.Zero(t, get[engine.Load](t, e, "/v1/load").Running)
		empty := get[engine.EventBatch](t, e, "/v1/events?after=1")
		assert.Empty(t, empty.Events)
		assert.Equal(t, uint64(1), empty.Last)
	})
}

// Guards against a stream without a reader that runs on for good.
func TestDetachedSequenceIsCancelledAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{DetachGrace: time.Second, StepTime: time.Minute})
		defer func() { require.NoError(t, e.Close()) }()
		r, err := e.submit(&submission{id: "r", model: "model", prompt: "prompt", maxTokens: 1000})
		require.NoError(t, err)
		e.detach(r)
		time.Sleep(999 * time.Millisecond)
		assert.Equal(t, outcomeRunning, e.Executions("r")[0].Outcome)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, "cancelled", e.Executions("r")[0].Outcome)
	})
}

// Guards against free work on a request that is cancelled during a step.
func TestStepOfCancelledRequestCounts(t *testing.T) {
	b := newTestBatch(Config{StepPrefillTokens: 100})
	l := NewLedger()
	s := sequenceOf("s", 1, 1)
	s.mark = l.markOf("prompt")
	b.push(s)
	work, _ := b.plan(time.Time{})
	l.Abandon("prompt")
	s.phase = cancelled
	late := b.apply(work, time.Time{}, l)
	assert.Equal(t, Counters{ComputedTokens: 100, CancelledTokens: 100}, late)
	assert.Equal(t, LedgerTotals{Total: 100, AfterAbandonment: 100}, l.Totals())
}

// Guards against a ledger that misses work for callers who have left or pieces computed twice.
func TestLedgerCountsWaste(t *testing.T) {
	l := NewLedger()
	m := l.markOf("prompt")
	l.prefilled(m, 10)
	l.Abandon("prompt")
	l.prefilled(m, 5)
	l.decoded(m)
	p := &piece{content: contentKey{1}, tokens: 7}
	l.stored(p)
	l.stored(p)
	assert.Equal(t, LedgerTotals{Total: 16, Recomputed: 7, AfterAbandonment: 6}, l.Totals())
}

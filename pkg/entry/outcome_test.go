package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/engine"
)

type outcomes chan Outcome

func (o outcomes) RecordGeneration(_ time.Time, outcome Outcome) { o <- outcome }

// Guards against a report that improves under overload because callers who disconnect are missing from it:
// the waiting time of a caller that disconnects before the first token must be recorded.
func TestOutcomeOfAbandonedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{hold: make(chan struct{}), ended: make(chan error, 1)}
		s := testServer(t, f)
		recorded := make(outcomes, 1)
		s.opt.Recorder = recorded
		ctx, cancel := context.WithCancel(t.Context())
		go post(ctx, s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
		time.Sleep(3 * time.Second)
		cancel()
		o := <-recorded
		assert.True(t, o.Abandoned)
		assert.Zero(t, o.TTFT)
		assert.Equal(t, 3*time.Second, o.WaitBeforeAbandon)
	})
}

// discard is a responder that drops all chunks.
type discard struct{ responder }

func (discard) Deliver(engine.Chunk) error { return nil }

// Guards against chunks of several tokens that are measured as one slow token.
func TestTimeBetweenTokensOfMultiTokenChunks(t *testing.T) {
	now := time.Unix(0, 0)
	sink := &latencySink{responder: discard{}, now: func() time.Time { return now }, arrived: now, onChunk: func(*engine.Chunk) {}}
	for _, c := range []struct {
		after  time.Duration
		tokens int
	}{{200 * time.Millisecond, 1}, {160 * time.Millisecond, 8}, {30 * time.Millisecond, 1}, {90 * time.Millisecond, 0}} {
		now = now.Add(c.after)
		assert.NoError(t, sink.Deliver(engine.Chunk{Tokens: c.tokens}))
		if c.tokens == 8 {
			assert.Equal(t, 20*time.Millisecond, sink.maxGap)
		}
	}
	assert.Equal(t, 200*time.Millisecond, sink.ttft)
	assert.Equal(t, 90*time.Millisecond, sink.maxGap)
}

package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// panickingReporter panics in its first calls.
type panickingReporter struct {
	engine.Reporter
	left atomic.Int32
}

func (p *panickingReporter) count() {
	if p.left.Add(-1) >= 0 {
		panic("unexpected response")
	}
}

func (p *panickingReporter) State(ctx context.Context) (engine.State, error) {
	p.count()
	return p.Reporter.State(ctx)
}

func (p *panickingReporter) Load(ctx context.Context) (engine.Load, error) {
	p.count()
	return p.Reporter.Load(ctx)
}

func (p *panickingReporter) Cache(ctx context.Context) (engine.CacheSnapshot, error) {
	p.count()
	return p.Reporter.Cache(ctx)
}

func (p *panickingReporter) Events(ctx context.Context, after uint64) (engine.EventBatch, error) {
	p.count()
	return p.Reporter.Events(ctx, after)
}

// Guards against a node that ends because the response of one engine makes the handling of it panic.
func TestPanicOverAResponseKeepsTheEngineInUse(t *testing.T) {
	registry := metrics.New()
	change := func(o *Options) {
		p := &panickingReporter{Reporter: o.Engines("e")}
		p.left.Store(8)
		o.Engines, o.Metrics = func(string) engine.Reporter { return p }, registry
	}
	runWithOwner(t, change, func(t *testing.T, n *testNode) {
		time.Sleep(5 * time.Second)
		assert.Equal(t, peerpb.AcquireReply_GRANTED, n.acquire(t, acquireRequest("r", 1)).GetVerdict())
	})
	panics := int64(0)
	for _, task := range []string{"engine", "engine events", "engine load", "engine state", "engine snapshot", "engine queue"} {
		panics += registry.Counter("task_panics", "task", task).Count()
	}
	assert.EqualValues(t, 8, panics)
}

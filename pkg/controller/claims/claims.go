// Package claims keeps non-idempotent requests at most once: it serves the claim shards that
// other nodes expect this node to write, and gives the entry the permission to send.
package claims

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Bounds of calls.
const (
	// DefaultWritesPerSecond and readsPerSecond are the shares of the object API's rates that
	// all nodes together use for claims.
	DefaultWritesPerSecond = 300
	readsPerSecond         = 1000
	// storeTimeout bounds one call of the object API.
	storeTimeout = 2 * time.Second
	// peerTimeout bounds one call of the usual writer, after which this node writes itself. It is
	// longer than a full queue takes: two writers of one journal only slow each other down.
	peerTimeout = 5 * time.Second
	// beginTimeout bounds a claim. It ends well before the permit would.
	beginTimeout = claims.SendTimeout / 2
	// fullLogInterval is the least time between two records of event JournalFull.
	fullLogInterval = 10 * time.Second
	// minPerNode keeps a node of a large fleet able to settle its claims. Unit: calls/s.
	minPerNode = 5
)

// Peer calls the usual writers of shards. An error means that the call may or may not have been
// served.
type Peer interface {
	Claim(ctx context.Context, node string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	RecordOutcome(ctx context.Context, node string, r *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error)
}

// Options configures a Controller.
type Options struct {
	// Node is this node's name in the membership.
	Node    string
	Board   *blackboard.Board
	Store   objects.Store
	Peer    Peer
	Metrics *metrics.Registry
	Logger  *slog.Logger
	// WritesPerSecond bounds the writes of all nodes together. Default DefaultWritesPerSecond.
	WritesPerSecond float64
}

// Controller writes claim shards and guards requests. It is safe for concurrent use.
type Controller struct {
	opt    Options
	writes *rate.Limiter
	reads  *rate.Limiter
	ctx    context.Context
	stop   context.CancelFunc

	// lifecycle guards the start of goroutines against Close. No other lock is taken under it.
	lifecycle sync.Mutex
	closing   bool
	stopped   bool
	settlers  sync.WaitGroup
	drivers   sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
	// down is set while the object API refuses claims.
	down bool
	// fullLogged is when event JournalFull was last logged; it can be due for every claim.
	fullLogged time.Time
	// settling is the number of outcomes that are being recorded in the background.
	settling int
}

// New returns a controller. Close ends it.
func New(opt Options) *Controller {
	if opt.WritesPerSecond <= 0 {
		opt.WritesPerSecond = DefaultWritesPerSecond
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		opt: opt, ctx: ctx, stop: stop, shards: map[int]*shard{},
		writes: rate.NewLimiter(minPerNode, minPerNode),
		reads:  rate.NewLimiter(minPerNode, minPerNode),
	}
}

// Close waits until all outcomes are recorded or ctx ends, and stops the controller's work.
func (c *Controller) Close(ctx context.Context) {
	c.lifecycle.Lock()
	c.closing = true
	c.lifecycle.Unlock()
	settled := make(chan struct{})
	go func() {
		c.settlers.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
	c.lifecycle.Lock()
	c.stopped = true
	c.lifecycle.Unlock()
	c.stop()
	<-settled
	c.drivers.Wait()
}

// startSettler runs f in the background unless the controller is closing.
func (c *Controller) startSettler(f func()) bool {
	c.lifecycle.Lock()
	defer c.lifecycle.Unlock()
	if !c.closing {
		c.settlers.Go(f)
	}
	return !c.closing
}

// startDriver runs f in the background. Settlers need drivers until the controller has stopped.
func (c *Controller) startDriver(f func()) bool {
	c.lifecycle.Lock()
	defer c.lifecycle.Unlock()
	if !c.stopped {
		c.drivers.Go(f)
	}
	return !c.stopped
}

// writers returns the nodes that may be usual writers: the live members that are not draining,
// and this node.
func (c *Controller) writers() []string {
	nodes := []string{c.opt.Node}
	for name, e := range c.opt.Board.Members.Snapshot() {
		if name != c.opt.Node && e.Value.State == blackboard.MemberAlive && !e.Value.Draining {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// pace waits for this node's share of the calls that all nodes may make.
func (c *Controller) pace(kind claims.ActionKind) {
	limiter, perSecond := c.reads, float64(readsPerSecond)
	switch kind {
	case claims.None:
		return
	case claims.Write, claims.Delete:
		limiter, perSecond = c.writes, c.opt.WritesPerSecond
	}
	share := max(perSecond/float64(len(c.writers())), minPerNode)
	limiter.SetLimit(rate.Limit(share))
	limiter.SetBurst(int(share))
	// The wait fails only when the controller stops.
	_ = limiter.Wait(c.ctx)
}

// keep returns the time for which a workspace's claims are kept.
func (c *Controller) keep(workspace string) time.Duration {
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return config.DefaultRetryWindow
	}
	w, ok := current.Workspace(workspace)
	if !ok {
		return config.DefaultRetryWindow
	}
	return w.RetryWindow.D()
}

// Claim serves the peer call of the same name.
func (c *Controller) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	op, err := claimFromWire(r, c.keep(r.Workspace))
	if err != nil {
		return nil, err
	}
	return replyToWire(c.submit(ctx, op.Key, claims.Op{Claim: &op})), nil
}

// RecordOutcome serves the peer call of the same name.
func (c *Controller) RecordOutcome(ctx context.Context, r *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error) {
	op, err := recordFromWire(r)
	if err != nil {
		return nil, err
	}
	reply := c.submit(ctx, op.Key, claims.Op{Record: &op})
	return &peerpb.RecordOutcomeReply{Recorded: reply.Verdict != claims.Unavailable}, nil
}

// noteReply counts verdicts and logs when claims start or cease to be refused.
func (c *Controller) noteReply(r claims.Reply) {
	c.opt.Metrics.Counter("claim_verdicts_total", "verdict", verdictNames[r.Verdict]).Inc(1)
	down := r.Verdict == claims.Unavailable
	c.mu.Lock()
	changed := down != c.down && (down || r.Verdict == claims.Granted)
	if changed {
		c.down = down
	}
	full := r.Verdict == claims.Full && time.Since(c.fullLogged) > fullLogInterval
	if full {
		c.fullLogged = time.Now()
	}
	c.mu.Unlock()
	switch {
	case changed && down:
		event.ClaimsRefused.Log(c.ctx, c.opt.Logger)
	case changed:
		event.ClaimsResumed.Log(c.ctx, c.opt.Logger)
	case full:
		event.JournalFull.Log(c.ctx, c.opt.Logger)
	}
}

var verdictNames = map[claims.Verdict]string{
	claims.Granted:      "granted",
	claims.Recorded:     "recorded",
	claims.Unknown:      "unknown",
	claims.BodyConflict: "body_conflict",
	claims.Unavailable:  "unavailable",
	claims.InProgress:   "in_progress",
	claims.Full:         "full",
}

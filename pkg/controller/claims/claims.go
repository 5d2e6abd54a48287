// Package claims gives non-idempotent requests at-most-once execution. Before an entry node sends
// such a request, it must record a claim on the request's idempotency key in a journal in the object
// API. The keys are divided into shards with one journal each, and each shard has a preferred writer, the
// node that by rendezvous hashing normally updates its journal. The package serves the peer calls of
// the shards of which this node is the preferred writer, and issues the permits to send on entry nodes.
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

// Limits of the calls to the object API and to peers.
const (
	// DefaultWritesPerSecond and readsPerSecond bound the calls that all nodes together make for
	// claims, so that the rest of the object API's capacity remains for other uses.
	DefaultWritesPerSecond = 300
	readsPerSecond         = 1000
	// storeTimeout bounds one call of the object API.
	storeTimeout = 2 * time.Second
	// peerTimeout bounds one call of the preferred writer, after which this node updates the journal
	// itself. It is longer than a full queue of the writer takes, because two writers of one journal
	// conflict and slow each other down.
	peerTimeout = 5 * time.Second
	// beginTimeout bounds a claim. It leaves half of the permit's validity for sending.
	beginTimeout = claims.SendTimeout / 2
	// fullLogInterval is the minimum time between two log records of the event JournalFull.
	fullLogInterval = 10 * time.Second
	// minCallsPerNode is the minimum rate of each node, in calls/s. Without it, the equal division
	// among many nodes would leave a node too few calls to record its claims.
	minCallsPerNode = 5
)

// Peer calls the preferred writers of shards on other nodes. After an error, the call may or may not have
// been executed.
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
	// WritesPerSecond bounds the writes of all nodes together. Zero means DefaultWritesPerSecond.
	WritesPerSecond float64
}

// Controller updates the journals of claims and issues permits to send. It is safe for concurrent
// use.
type Controller struct {
	opt    Options
	writes *rate.Limiter
	reads  *rate.Limiter
	ctx    context.Context
	stop   context.CancelFunc

	// lifecycle serialises the start of goroutines with Close. No other lock is taken while it is
	// held. After closing is set, no outcome recorders start; after stopped is set, no shard loops.
	lifecycle        sync.Mutex
	closing          bool
	stopped          bool
	outcomeRecorders sync.WaitGroup
	shardLoops       sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
	// refusing is set while claims are refused because the object API does not confirm them.
	refusing bool
	// lastFullLog is the time at which the event JournalFull was last logged. Without a limit, a full
	// journal would log it for every claim.
	lastFullLog time.Time
	// pendingOutcomes is the number of outcomes that are being recorded in the background.
	pendingOutcomes int
}

// New returns a controller. The caller must call Close.
func New(opt Options) *Controller {
	if opt.WritesPerSecond <= 0 {
		opt.WritesPerSecond = DefaultWritesPerSecond
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		opt: opt, ctx: ctx, stop: stop, shards: map[int]*shard{},
		writes: rate.NewLimiter(minCallsPerNode, minCallsPerNode),
		reads:  rate.NewLimiter(minCallsPerNode, minCallsPerNode),
	}
}

// Close waits until all outcomes are recorded or ctx ends, and then stops all background work.
// Outcomes that are not recorded by then are logged and lost.
func (c *Controller) Close(ctx context.Context) {
	c.lifecycle.Lock()
	c.closing = true
	c.lifecycle.Unlock()
	recorded := make(chan struct{})
	go func() {
		c.outcomeRecorders.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	c.lifecycle.Lock()
	c.stopped = true
	c.lifecycle.Unlock()
	c.stop()
	<-recorded
	c.shardLoops.Wait()
}

// startOutcomeRecorder runs f in the background and returns true, or returns false if the controller
// is closing.
func (c *Controller) startOutcomeRecorder(f func()) bool {
	c.lifecycle.Lock()
	defer c.lifecycle.Unlock()
	if !c.closing {
		c.outcomeRecorders.Go(f)
	}
	return !c.closing
}

// startShardLoop runs f in the background and returns true, or returns false if the controller has
// stopped. Shard loops may start while it closes, because the remaining outcomes need them.
func (c *Controller) startShardLoop(f func()) bool {
	c.lifecycle.Lock()
	defer c.lifecycle.Unlock()
	if !c.stopped {
		c.shardLoops.Go(f)
	}
	return !c.stopped
}

// eligibleWriters returns the nodes that may be preferred writers: the live members that are not
// draining, and this node.
func (c *Controller) eligibleWriters() []string {
	nodes := []string{c.opt.Node}
	for name, e := range c.opt.Board.Members.Snapshot() {
		if name != c.opt.Node && e.Value.State == blackboard.MemberAlive && !e.Value.Draining {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// waitForCallRate blocks until this node may make a call of the kind within its equal share of the
// rate of all nodes.
func (c *Controller) waitForCallRate(kind claims.ActionKind) {
	limiter, perSecond := c.reads, float64(readsPerSecond)
	switch kind {
	case claims.None:
		return
	case claims.Write, claims.Delete:
		limiter, perSecond = c.writes, c.opt.WritesPerSecond
	}
	share := max(perSecond/float64(len(c.eligibleWriters())), minCallsPerNode)
	limiter.SetLimit(rate.Limit(share))
	limiter.SetBurst(int(share))
	// Wait returns an error only if the controller stops.
	_ = limiter.Wait(c.ctx)
}

// retryWindow returns the time for which a workspace's claims are retained.
func (c *Controller) retryWindow(workspace string) time.Duration {
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return config.DefaultRetryWindow
	}
	w, ok := current.Workspace(workspace)
	if !ok {
		return config.DefaultRetryWindow
	}
	return w.RetryWindow.AsDuration()
}

// Claim serves the peer call Claim: it records a claim in this node's shard journal. It returns an
// error only for a malformed request.
func (c *Controller) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	op, err := claimFromWire(r, c.retryWindow(r.Workspace))
	if err != nil {
		return nil, err
	}
	return replyToWire(c.submit(ctx, op.Key, claims.Op{Claim: &op})), nil
}

// RecordOutcome serves the peer call RecordOutcome: it records the outcome of a claimed request. It
// returns an error only for a malformed request.
func (c *Controller) RecordOutcome(ctx context.Context, r *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error) {
	op, err := recordFromWire(r)
	if err != nil {
		return nil, err
	}
	reply := c.submit(ctx, op.Key, claims.Op{Record: &op})
	return &peerpb.RecordOutcomeReply{Recorded: reply.Verdict != claims.Unavailable}, nil
}

// countReply counts the verdict and logs when the object API starts or stops refusing claims and when
// a journal is full.
func (c *Controller) countReply(r claims.Reply) {
	c.opt.Metrics.Counter("claim_verdicts_total", "verdict", verdictNames[r.Verdict]).Inc(1)
	unavailable := r.Verdict == claims.Unavailable
	c.mu.Lock()
	changed := unavailable != c.refusing && (unavailable || r.Verdict == claims.Granted)
	if changed {
		c.refusing = unavailable
	}
	logFull := r.Verdict == claims.Full && time.Since(c.lastFullLog) > fullLogInterval
	if logFull {
		c.lastFullLog = time.Now()
	}
	c.mu.Unlock()
	switch {
	case changed && unavailable:
		event.ClaimsRefused.Log(c.ctx, c.opt.Logger)
	case changed:
		event.ClaimsResumed.Log(c.ctx, c.opt.Logger)
	case logFull:
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

// Package report collects the burn report over the fleet and renders it as HTML, JSON and text.
package report

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Limits on the traffic of a collection. A node may use 9 KB/s for all of its control traffic, and a
// collection takes less than half of that. The burst is enough to collect from a small fleet without
// waiting.
const (
	bytesPerSecond = 4 << 10
	burstBytes     = 64 << 10
)

// reportTTL is the age up to which a report is reused, so that several readers share one collection.
const reportTTL = 30 * time.Second

// fetchTimeout bounds the call to one node.
const fetchTimeout = 2 * time.Second

// Options configures a Collector.
type Options struct {
	// Self is this node's name. Its own recorder is read without a call.
	Self     string
	Board    *blackboard.Board
	Recorder *burn.Recorder
	// Client returns the client for the RPC address of a node.
	Client func(address string) peerpb.Peer
	Now    func() time.Time
}

// Collector fetches the sketches of all live nodes one after the other and merges each as it arrives,
// so that the node holds only the sums and one sketch. It is safe for concurrent use.
type Collector struct {
	opt         Options
	limiter     *rate.Limiter
	collections singleflight.Group

	mu     sync.Mutex
	cached burn.Report
}

// NewCollector returns a collector.
func NewCollector(opt Options) *Collector {
	return &Collector{opt: opt, limiter: rate.NewLimiter(bytesPerSecond, burstBytes)}
}

// Collect returns a report that is at most 30 seconds old. It blocks until all nodes have answered or
// failed; concurrent callers share one collection. The error is of kind
// fault.PlatformUnavailable before a configuration is in force, or that of ctx.
func (c *Collector) Collect(ctx context.Context) (burn.Report, error) {
	c.mu.Lock()
	last := c.cached
	c.mu.Unlock()
	if !last.At.IsZero() && c.opt.Now().Sub(last.At) < reportTTL {
		return last, nil
	}
	// The collection continues if the caller that started it is cancelled, because others may wait for it.
	result := c.collections.DoChan("", func() (any, error) { return c.collect(context.WithoutCancel(ctx)) })
	select {
	case <-ctx.Done():
		return burn.Report{}, ctx.Err()
	case r := <-result:
		if r.Err != nil {
			return burn.Report{}, r.Err
		}
		return r.Val.(burn.Report), nil
	}
}

func (c *Collector) collect(ctx context.Context) (burn.Report, error) {
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return burn.Report{}, fault.New(fault.PlatformUnavailable, "no configuration is in force yet")
	}
	merger, missing := c.merge(ctx, current)
	r := merger.Report(c.opt.Now(), missing)
	c.mu.Lock()
	c.cached = r
	c.mu.Unlock()
	return r, nil
}

func (c *Collector) merge(ctx context.Context, current *config.Config) (*burn.Merger, []string) {
	merger := burn.NewMerger(current)
	// Add fails only for counts out of range, which this node's own sketch does not have.
	_ = merger.Add(c.opt.Recorder.Sketch(c.opt.Now()))
	var missing []string
	for _, m := range c.otherLiveNodes() {
		if err := c.fetchAndAdd(ctx, merger, m); err != nil {
			missing = append(missing, m.Name)
		}
	}
	return merger, missing
}

// otherLiveNodes returns the live nodes except this one, in the order of their names.
func (c *Collector) otherLiveNodes() []blackboard.MemberEntry {
	var live []blackboard.MemberEntry
	for name, m := range c.opt.Board.Members.Snapshot() {
		if name != c.opt.Self && (m.Value.State == blackboard.MemberAlive || m.Value.State == blackboard.MemberSuspect) {
			live = append(live, m.Value)
		}
	}
	slices.SortFunc(live, func(a, b blackboard.MemberEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return live
}

func (c *Collector) fetchAndAdd(ctx context.Context, merger *burn.Merger, m blackboard.MemberEntry) error {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	period := burn.Windows[len(burn.Windows)-1]
	reply, err := c.opt.Client(m.RPCAddress).FetchBurn(callCtx, &peerpb.FetchBurnRequest{WindowSeconds: uint32(period / time.Second)})
	if err != nil {
		return err
	}
	sketch, err := burn.Decode(reply.Sketches)
	if err != nil {
		return err
	}
	if err := merger.Add(sketch); err != nil {
		return err
	}
	return c.limiter.WaitN(ctx, len(reply.Sketches))
}

// FetchBurn implements the call of the same name of the peer protocol: it returns this node's sketch
// to a node that collects a report.
func (c *Collector) FetchBurn(context.Context, *peerpb.FetchBurnRequest) (*peerpb.FetchBurnReply, error) {
	return &peerpb.FetchBurnReply{Sketches: c.opt.Recorder.Sketch(c.opt.Now()).Encode()}, nil
}

// Package configwatch keeps the configuration in force on the blackboard: from the object API on
// the nodes that watch it, from peers on all others. A configuration stays in force through
// outages of the object API and is only replaced by a higher version.
package configwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// stepInterval bounds the time from a peer's announcement to the fetch.
	stepInterval = 250 * time.Millisecond
	// roleInterval is the interval at which the choice of watchers is checked.
	roleInterval = time.Second
	// fetchTimeout covers a configuration of 1 MB between regions.
	fetchTimeout = 5 * time.Second
	// avoidTime is how long a peer that failed is not asked again.
	avoidTime = 5 * time.Second
	// watchPause bounds the rate of watches that return at once without news.
	watchPause = time.Second
	// minRetry and maxRetry bound the wait after a failed call to the object API, with full
	// jitter.
	minRetry = time.Second
	maxRetry = 15 * time.Second
)

// Options configure a Controller.
type Options struct {
	Name       string
	DataCentre string
	Region     string
	Board      *blackboard.Board
	// Store is the object API. Nil means that the node relies on peers.
	Store objects.Store
	// Peers returns the client for an RPC address, as peer.Pool.Client does.
	Peers func(address string) peerpb.Peer
	// OnPrefixes receives the soft prefixes of bootstrap replies. Default: they are dropped.
	OnPrefixes func([]*peerpb.SoftPrefix)
	// Logger receives configuration events. Default: slog.Default().
	Logger *slog.Logger
	// Metrics receives the counters config_*. Default: a registry of its own.
	Metrics *metrics.Registry
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// Rand is the source of random choices. Default: a randomly seeded one.
	Rand *rand.Rand
}

// Controller keeps the configuration in force.
type Controller struct {
	o     Options
	stale gometrics.Counter

	mu      sync.Mutex
	startup configsync.Startup
	ready   bool
	// failed holds until when a peer is avoided.
	failed map[string]time.Time
	// wholeNext makes the next fetch ask for the whole document after parts did not fit.
	wholeNext atomic.Bool
	// refused is the highest version that this release does not accept.
	refused uint64
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.OnPrefixes == nil {
		o.OnPrefixes = func([]*peerpb.SoftPrefix) {}
	}
	return &Controller{
		o:       o,
		stale:   o.Metrics.Counter("config_stale_total"),
		startup: configsync.Startup{Started: o.Now()},
		failed:  map[string]time.Time{},
	}
}

// Run works until ctx ends and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { c.bootstrap(ctx); return nil })
	group.Go(func() error { c.fetchLoop(ctx); return nil })
	if c.o.Store != nil {
		group.Go(func() error { c.roleLoop(ctx); return nil })
	}
	return group.Wait()
}

// Ready reports whether the node has the configuration that it needs to serve. Once ready, it
// stays ready.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Stale returns the number of older versions that were offered and ignored.
func (c *Controller) Stale() int64 { return c.stale.Count() }

func (c *Controller) version() uint64 {
	entry, _ := c.o.Board.Config.Get(blackboard.ConfigKey)
	return entry.Value.Version
}

func (c *Controller) members() []blackboard.MemberEntry {
	snapshot := c.o.Board.Members.Snapshot()
	members := make([]blackboard.MemberEntry, 0, len(snapshot))
	for _, entry := range snapshot {
		members = append(members, entry.Value)
	}
	return members
}

func (c *Controller) self() blackboard.MemberEntry {
	return blackboard.MemberEntry{Name: c.o.Name, DataCentre: c.o.DataCentre, Region: c.o.Region}
}

// store puts an offered version into force if the version rule allows it.
func (c *Controller) store(ctx context.Context, version uint64, document []byte, writer, source string) {
	before := c.version()
	if configsync.CompareVersions(before, version) == configsync.Same || c.isRefused(version) {
		return
	}
	evidence := blackboard.Evidence{Writer: writer, Source: source, ObservedAt: c.o.Now()}
	stale, err := peer.StoreConfig(c.o.Board, version, document, evidence)
	switch {
	case err != nil:
		c.refuse(ctx, version, err)
	case stale:
		c.noteStale(ctx, before, version, writer)
	default:
		event.ConfigAccepted.Log(ctx, c.o.Logger, slog.Uint64("version", version), slog.String("from", writer))
	}
}

func (c *Controller) noteStale(ctx context.Context, inForce, version uint64, writer string) {
	c.stale.Inc(1)
	event.ConfigStale.Log(ctx, c.o.Logger, slog.Uint64("in_force", inForce), slog.Uint64("offered", version), slog.String("from", writer))
}

// known returns the highest version that this node has seen, refused ones included.
func (c *Controller) known() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.version(), c.refused)
}

// isRefused keeps a version that does not validate from being fetched again and again.
func (c *Controller) isRefused(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version == c.refused
}

func (c *Controller) refuse(ctx context.Context, version uint64, err error) {
	c.mu.Lock()
	c.refused = max(c.refused, version)
	c.mu.Unlock()
	event.ConfigInvalid.Log(ctx, c.o.Logger, slog.Uint64("version", version), slog.String("error", err.Error()))
}

// fetchLoop fetches newer versions that peers announce.
func (c *Controller) fetchLoop(ctx context.Context) {
	for wait.Pause(ctx, stepInterval) {
		c.mu.Lock()
		source, ok := configsync.PickSource(c.o.Rand, c.self(), max(c.version(), c.refused), c.members(), c.avoidLocked)
		c.mu.Unlock()
		if ok {
			c.fetch(ctx, source)
		}
	}
}

func (c *Controller) avoidLocked(name string) bool { return c.o.Now().Before(c.failed[name]) }

func (c *Controller) fetch(ctx context.Context, source blackboard.MemberEntry) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	entry, _ := c.o.Board.Config.Get(blackboard.ConfigKey)
	have := entry.Value.Version
	request := &peerpb.FetchConfigRequest{HaveVersion: have}
	if c.wholeNext.CompareAndSwap(true, false) {
		entry.Value.Document = nil
	}
	request.HaveParts = peer.PartIDs(entry.Value.Document)
	reply, err := c.o.Peers(source.RPCAddress).FetchConfig(ctx, request)
	if err != nil {
		c.avoid(source.Name)
		event.ConfigFetchFailed.Log(ctx, c.o.Logger, slog.String("from", source.Name), slog.String("error", err.Error()))
		return
	}
	if reply.Version <= have {
		// The member list was ahead of the peer, for instance after its restart.
		c.avoid(source.Name)
		if reply.Version < have {
			c.noteStale(ctx, have, reply.Version, source.Name)
		}
		return
	}
	document, err := peer.JoinConfig(reply, entry.Value.Document)
	if err != nil {
		c.wholeNext.Store(true)
		event.ConfigFetchFailed.Log(ctx, c.o.Logger, slog.String("from", source.Name), slog.String("error", err.Error()))
		return
	}
	c.store(ctx, reply.Version, document, source.Name, "peer")
}

func (c *Controller) avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	for other, until := range c.failed {
		if !now.Before(until) {
			delete(c.failed, other)
		}
	}
	c.failed[name] = now.Add(avoidTime)
}

// roleLoop watches the object API while this node is chosen.
func (c *Controller) roleLoop(ctx context.Context) {
	var stop context.CancelFunc
	var done chan struct{}
	for {
		chosen := configsync.IsWatcher(c.o.Name, c.o.DataCentre, c.members())
		if chosen && stop == nil {
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() {
				defer close(done)
				c.watch(watchCtx)
			}()
		}
		if !chosen && stop != nil {
			stop()
			<-done
			stop = nil
		}
		if !wait.Pause(ctx, roleInterval) {
			break
		}
	}
	if stop != nil {
		stop()
		<-done
	}
}

// watch follows the configuration object until ctx ends.
func (c *Controller) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		changes, err := c.o.Store.Watch(ctx, configsync.CurrentObjectName, c.known())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			if failures == 1 {
				event.ConfigSourceDown.Log(ctx, c.o.Logger, slog.String("error", err.Error()))
			}
			wait.Pause(ctx, c.retryAfter(failures))
			continue
		}
		failures = 0
		if !c.takeObjects(ctx, changes) {
			wait.Pause(ctx, watchPause)
		}
	}
}

// takeObjects reports whether the objects brought a newer version into force. A deleted
// configuration stays in force.
func (c *Controller) takeObjects(ctx context.Context, found []objects.Object) bool {
	before := c.version()
	for _, o := range found {
		if o.Name == configsync.CurrentObjectName && !o.Deleted {
			c.storeObject(ctx, o, "watch")
		}
	}
	return c.version() > before
}

func (c *Controller) retryAfter(failures int) time.Duration {
	longest := min(minRetry<<min(failures, 5), maxRetry)
	c.mu.Lock()
	defer c.mu.Unlock()
	return minRetry/2 + time.Duration(c.o.Rand.Int64N(int64(longest)))
}

// get reads the configuration object once. It reports whether the object API answered.
func (c *Controller) get(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o, err := c.o.Store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return fault.Is(err, fault.NotFound)
	}
	return c.storeObject(ctx, o, "read")
}

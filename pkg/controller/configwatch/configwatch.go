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
	fetchPollInterval = 250 * time.Millisecond
	// roleInterval is the interval at which the choice of watchers is checked.
	watcherCheckInterval = time.Second
	// fetchTimeout covers a configuration of 1 MB between regions.
	fetchTimeout = 5 * time.Second
	// avoidTime is how long a peer that failed is not asked again.
	failedPeerDelay = 5 * time.Second
	// watchPause bounds the rate of watches that return at once without news.
	emptyWatchDelay = time.Second
	// minRetry and maxRetry bound the wait after a failed call to the object API, with full
	// jitter.
	retryBaseDelay  = time.Second
	maxRetryBackoff = 15 * time.Second
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
	options     Options
	staleOffers gometrics.Counter

	mu      sync.Mutex
	startup configsync.Startup
	ready   bool
	// failed holds until when a peer is avoided.
	avoidUntil map[string]time.Time
	// wholeNext makes the next fetch ask for the whole document after parts did not fit.
	forceFullFetch atomic.Bool
	// refused is the highest version that this release does not accept.
	rejectedVersion uint64
}

// New returns a controller.
func New(options Options) *Controller {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.OnPrefixes == nil {
		options.OnPrefixes = func([]*peerpb.SoftPrefix) {}
	}
	return &Controller{
		options:     options,
		staleOffers: options.Metrics.Counter("config_stale_total"),
		startup:     configsync.Startup{Started: options.Now()},
		avoidUntil:  map[string]time.Time{},
	}
}

// Run works until ctx ends and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { c.bootstrap(ctx); return nil })
	group.Go(func() error { c.fetchLoop(ctx); return nil })
	if c.options.Store != nil {
		group.Go(func() error { c.watcherLoop(ctx); return nil })
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
func (c *Controller) StaleOffers() int64 { return c.staleOffers.Count() }

func (c *Controller) version() uint64 {
	entry, _ := c.options.Board.Config.Get(blackboard.ConfigKey)
	return entry.Value.Version
}

func (c *Controller) members() []blackboard.MemberEntry {
	snapshot := c.options.Board.Members.Snapshot()
	members := make([]blackboard.MemberEntry, 0, len(snapshot))
	for _, entry := range snapshot {
		members = append(members, entry.Value)
	}
	return members
}

func (c *Controller) self() blackboard.MemberEntry {
	return blackboard.MemberEntry{Name: c.options.Name, DataCentre: c.options.DataCentre, Region: c.options.Region}
}

// store puts an offered version into force if the version rule allows it.
func (c *Controller) applyVersion(ctx context.Context, version uint64, document []byte, writer, source string) {
	before := c.version()
	if configsync.Judge(before, version) == configsync.Same || c.isRejected(version) {
		return
	}
	evidence := blackboard.Evidence{Writer: writer, Source: source, ObservedAt: c.options.Now()}
	stale, err := peer.StoreConfig(c.options.Board, version, document, evidence)
	switch {
	case err != nil:
		c.rejectVersion(ctx, version, err)
	case stale:
		c.recordStale(ctx, before, version, writer)
	default:
		event.ConfigAccepted.Log(ctx, c.options.Logger, slog.Uint64("version", version), slog.String("from", writer))
	}
}

func (c *Controller) recordStale(ctx context.Context, inForce, version uint64, writer string) {
	c.staleOffers.Inc(1)
	event.ConfigStale.Log(ctx, c.options.Logger, slog.Uint64("in_force", inForce), slog.Uint64("offered", version), slog.String("from", writer))
}

// known returns the highest version that this node has seen, refused ones included.
func (c *Controller) highestSeenVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.version(), c.rejectedVersion)
}

// isRefused keeps a version that does not validate from being fetched again and again.
func (c *Controller) isRejected(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version == c.rejectedVersion
}

func (c *Controller) rejectVersion(ctx context.Context, version uint64, err error) {
	c.mu.Lock()
	c.rejectedVersion = max(c.rejectedVersion, version)
	c.mu.Unlock()
	event.ConfigInvalid.Log(ctx, c.options.Logger, slog.Uint64("version", version), slog.String("error", err.Error()))
}

// fetchLoop fetches newer versions that peers announce.
func (c *Controller) fetchLoop(ctx context.Context) {
	for wait.Pause(ctx, fetchPollInterval) {
		c.mu.Lock()
		source, ok := configsync.Source(c.options.Rand, c.self(), max(c.version(), c.rejectedVersion), c.members(), c.isAvoidedLocked)
		c.mu.Unlock()
		if ok {
			c.fetch(ctx, source)
		}
	}
}

func (c *Controller) isAvoidedLocked(name string) bool {
	return c.options.Now().Before(c.avoidUntil[name])
}

func (c *Controller) fetch(ctx context.Context, source blackboard.MemberEntry) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	entry, _ := c.options.Board.Config.Get(blackboard.ConfigKey)
	have := entry.Value.Version
	request := &peerpb.FetchConfigRequest{HaveVersion: have}
	if c.forceFullFetch.CompareAndSwap(true, false) {
		entry.Value.Document = nil
	}
	request.HaveParts = peer.PartIDs(entry.Value.Document)
	reply, err := c.options.Peers(source.RPCAddress).FetchConfig(ctx, request)
	if err != nil {
		c.avoidPeer(source.Name)
		event.ConfigFetchFailed.Log(ctx, c.options.Logger, slog.String("from", source.Name), slog.String("error", err.Error()))
		return
	}
	if reply.Version <= have {
		// The member list was ahead of the peer, for instance after its restart.
		c.avoidPeer(source.Name)
		if reply.Version < have {
			c.recordStale(ctx, have, reply.Version, source.Name)
		}
		return
	}
	document, err := peer.JoinConfig(reply, entry.Value.Document)
	if err != nil {
		c.forceFullFetch.Store(true)
		event.ConfigFetchFailed.Log(ctx, c.options.Logger, slog.String("from", source.Name), slog.String("error", err.Error()))
		return
	}
	c.applyVersion(ctx, reply.Version, document, source.Name, "peer")
}

func (c *Controller) avoidPeer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for other, until := range c.avoidUntil {
		if !now.Before(until) {
			delete(c.avoidUntil, other)
		}
	}
	c.avoidUntil[name] = now.Add(failedPeerDelay)
}

// roleLoop watches the object API while this node is chosen.
func (c *Controller) watcherLoop(ctx context.Context) {
	var stop context.CancelFunc
	var done chan struct{}
	for {
		chosen := configsync.IsWatcher(c.options.Name, c.options.DataCentre, c.members())
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
		if !wait.Pause(ctx, watcherCheckInterval) {
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
		changes, err := c.options.Store.Watch(ctx, configsync.Object, c.highestSeenVersion())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			if failures == 1 {
				event.ConfigSourceDown.Log(ctx, c.options.Logger, slog.String("error", err.Error()))
			}
			wait.Pause(ctx, c.retryDelay(failures))
			continue
		}
		failures = 0
		if !c.applyObjects(ctx, changes) {
			wait.Pause(ctx, emptyWatchDelay)
		}
	}
}

// takeObjects reports whether the objects brought a newer version into force. A deleted
// configuration stays in force.
func (c *Controller) applyObjects(ctx context.Context, changes []objects.Object) bool {
	before := c.version()
	for _, o := range changes {
		if o.Name == configsync.Object && !o.Deleted {
			c.applyObject(ctx, o, "watch")
		}
	}
	return c.version() > before
}

func (c *Controller) retryDelay(failures int) time.Duration {
	maxJitter := min(retryBaseDelay<<min(failures, 5), maxRetryBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	return retryBaseDelay/2 + time.Duration(c.options.Rand.Int64N(int64(maxJitter)))
}

// get reads the configuration object once. It reports whether the object API answered.
func (c *Controller) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o, err := c.options.Store.Get(ctx, configsync.Object)
	if err != nil {
		return fault.Is(err, fault.NotFound)
	}
	return c.applyObject(ctx, o, "read")
}

// Package configwatch keeps the configuration in force on the blackboard up to date. A few nodes of
// each data centre watch the object API, the platform's store of versioned objects; all others fetch
// new versions from peers. A configuration stays in force through outages of the object API and is
// replaced only by a higher version.
package configwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// fetchPollInterval is the interval at which the members' announced versions are checked. It
	// bounds the delay between a peer's announcement and the fetch.
	fetchPollInterval = 250 * time.Millisecond
	// watcherCheckInterval is the interval at which a node checks whether it is one of the
	// watchers of its data centre.
	watcherCheckInterval = time.Second
	// fetchTimeout is sufficient to transfer a configuration of 1 MB between regions.
	fetchTimeout = 5 * time.Second
	// failedPeerDelay is the time for which nothing is fetched from a peer after a failed fetch.
	failedPeerDelay = 5 * time.Second
	// emptyWatchDelay bounds the rate of watch calls that return at once without a newer version.
	emptyWatchDelay = time.Second
	// The delay after a failed watch is half of retryBaseDelay plus a random part. The upper limit
	// of the random part doubles with each failure, up to maxRetryBackoff.
	retryBaseDelay  = time.Second
	maxRetryBackoff = 15 * time.Second
)

// Options configure a Controller.
type Options struct {
	Name       string
	DataCentre string
	Region     string
	Board      *blackboard.Board
	// Store is the object API. If nil, the node gets configurations from peers only.
	Store objects.Store
	// Peers returns the client for an RPC address, as peer.Pool.Client does.
	Peers func(address string) peerpb.Peer
	// OnPrefixes receives the prefix index entries of bootstrap replies: which engine has which
	// prefix cached. Default: they are discarded.
	OnPrefixes func([]*peerpb.SoftPrefix)
	// PeersListed reports whether the VM list or the settings name other nodes, for which a starting
	// node then waits longer. Default: they do not.
	PeersListed func() bool
	// Logger is the logger of configuration events. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry of the counters config_*. Default: a new registry.
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
	// avoidUntil maps the name of a peer to the time until which nothing is fetched from it.
	avoidUntil map[string]time.Time
	// forceFullFetch makes the next fetch request all parts of the document. It is set after the
	// parts of a reply could not be joined with those of the document in force.
	forceFullFetch atomic.Bool
	// rejectedVersion is the highest version whose document failed validation, or 0.
	rejectedVersion uint64
}

// New returns a controller with defaults for unset options.
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
	if options.PeersListed == nil {
		options.PeersListed = func() bool { return false }
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

// Run obtains the first configuration and follows changes until ctx ends. It then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	guard := recovery.Guard{Logger: c.options.Logger, Metrics: c.options.Metrics}
	var loops sync.WaitGroup
	loops.Go(func() { guard.Loop(ctx, "configuration bootstrap", c.bootstrap) })
	loops.Go(func() { guard.Loop(ctx, "configuration fetches", c.fetchLoop) })
	if c.options.Store != nil {
		loops.Go(func() { guard.Loop(ctx, "configuration watch", c.watcherLoop) })
	}
	loops.Wait()
	return nil
}

// Ready reports whether the node has a configuration to serve with; see configsync.Startup.Ready.
// Once true, it stays true.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// StaleOffers returns the number of versions received that were older than the one in force and
// therefore ignored.
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

// applyVersion puts a received version into force if it is higher than the one in force and its
// document is valid.
func (c *Controller) applyVersion(ctx context.Context, version uint64, document []byte, writer, source string) {
	before := c.version()
	if configsync.CompareVersions(before, version) == configsync.Same || c.isRejected(version) {
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

// highestSeenVersion returns the highest version that this node has received, including versions
// that failed validation.
func (c *Controller) highestSeenVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.version(), c.rejectedVersion)
}

// isRejected reports whether a version failed validation before, so that it is not fetched and
// parsed repeatedly.
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

// fetchLoop fetches newer versions from the peers that announce them.
func (c *Controller) fetchLoop(ctx context.Context) {
	for wait.Pause(ctx, fetchPollInterval) {
		c.mu.Lock()
		source, ok := configsync.PickSource(c.options.Rand, c.self(), max(c.version(), c.rejectedVersion), c.members(), c.isAvoidedLocked)
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
		// The member list showed a newer version than the peer has, for instance after a restart of
		// the peer.
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

// watcherLoop watches the object API while this node is one of the watchers of its data centre.
func (c *Controller) watcherLoop(ctx context.Context) {
	var stop context.CancelFunc
	var done chan struct{}
	for {
		isWatcher := configsync.IsWatcher(c.options.Name, c.options.DataCentre, c.members())
		if isWatcher && stop == nil {
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() {
				defer close(done)
				c.watch(watchCtx)
			}()
		}
		if !isWatcher && stop != nil {
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

// watch applies changes of the configuration object until ctx ends.
func (c *Controller) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		changes, err := c.options.Store.Watch(ctx, configsync.CurrentObjectName, c.highestSeenVersion())
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

// applyObjects applies the changes of a watch and reports whether a newer version is now in force. A
// configuration whose object is deleted stays in force.
func (c *Controller) applyObjects(ctx context.Context, changes []objects.Object) bool {
	before := c.version()
	for _, o := range changes {
		if o.Name == configsync.CurrentObjectName && !o.Deleted {
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

// readStore reads the configuration object once and applies it. It reports whether the object API
// responded, also if it holds no configuration.
func (c *Controller) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o, err := c.options.Store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return fault.Is(err, fault.NotFound)
	}
	return c.applyObject(ctx, o, "read")
}

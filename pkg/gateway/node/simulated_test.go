package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
)

const (
	simulatedPageSize = 50
	// simulatedLatency is the time of a call of the store, a datagram or a fetch.
	simulatedLatency = 3 * time.Millisecond
)

var errSimulatedReset = errors.New("connection reset")

// simulatedStore is a platform store that counts its calls.
type simulatedStore struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]mirror.Entry
	history  []mirror.Change
	kindOf   map[int64]string
	leases   map[string]objects.Object
	down     bool
	// missesChanges makes watches return no changes.
	missesChanges bool
	// respondedAt is the time of the last call that succeeded.
	respondedAt time.Time
	// changed is closed by each change of the content and of down.
	changed chan struct{}
	calls   map[string]int
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{
		kinds: map[string]map[string]mirror.Entry{}, kindOf: map[int64]string{}, leases: map[string]objects.Object{}, changed: make(chan struct{}),
		calls: map[string]int{}, revision: 1,
	}
}

func (s *simulatedStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simulatedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

func (s *simulatedStore) put(kind, name, value string) { s.change(kind, name, value, false) }

func (s *simulatedStore) remove(kind, name string) { s.change(kind, name, "", true) }

func (s *simulatedStore) change(kind, name, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := mirror.Entry{Name: name, Revision: s.revision, Value: []byte(value)}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]mirror.Entry{}
	}
	if s.kinds[kind][name] = e; deleted {
		delete(s.kinds[kind], name)
	}
	s.history = append(s.history, mirror.Change{Entry: e, Deleted: deleted})
	s.kindOf[e.Revision] = kind
	s.notifyLocked()
}

// totalCalls returns the number of calls so far, by type and in all.
func (s *simulatedStore) totalCalls() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return fmt.Sprint(s.calls), total
}

// call counts a call and returns the error of a store that is down.
func (s *simulatedStore) call(what string) error {
	time.Sleep(simulatedLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		what += " refused"
	}
	s.calls[what]++
	if !s.down {
		s.respondedAt = time.Now()
	} else {
		return fault.Wrap(errSimulatedReset, fault.PlatformUnavailable, "call failed").WithWork(fault.Unknown)
	}
	return nil
}

// simulatedClient is the client of one node.
type simulatedClient struct {
	store *simulatedStore
	mu    sync.Mutex
	// dead is set once the node's process was killed, cut while the node does not reach the store, and reached once it has.
	dead, cut, reached bool
}

func (c *simulatedClient) call(what string) error {
	c.mu.Lock()
	unreachable := c.dead || c.cut
	c.mu.Unlock()
	if unreachable {
		time.Sleep(simulatedLatency)
		return fault.Wrap(errSimulatedReset, fault.PlatformUnavailable, "call failed").WithWork(fault.Unknown)
	}
	err := c.store.call(what)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = c.reached || err == nil
	return err
}

func (c *simulatedClient) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// Era implements weights.LeaseStore.
func (c *simulatedClient) Era() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 0, c.reached
}

// Get implements weights.LeaseStore.
func (c *simulatedClient) Get(_ context.Context, name string) (objects.Object, error) {
	if err := c.call("get " + name); err != nil {
		return objects.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	o, ok := c.store.leases[name]
	if !ok {
		return o, fault.New(fault.NotFound, "no object")
	}
	return o, nil
}

// Put implements weights.LeaseStore.
func (c *simulatedClient) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if err := c.call("put " + name); err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.leases[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "the version differs")
	}
	c.store.revision++
	c.store.leases[name] = objects.Object{Name: name, Version: uint64(c.store.revision), Value: value}
	return uint64(c.store.revision), nil
}

// List implements mirror.Source.
func (c *simulatedClient) List(_ context.Context, kind string) ([]mirror.Entry, int64, error) {
	var entries []mirror.Entry
	var revision int64
	for pages := 1; ; pages++ {
		if err := c.call("list"); err != nil {
			return nil, 0, err
		}
		c.store.mu.Lock()
		if pages == 1 {
			revision = c.store.revision
		}
		entries = entries[:0]
		for _, e := range c.store.kinds[kind] {
			entries = append(entries, e)
		}
		c.store.mu.Unlock()
		if len(entries) <= pages*simulatedPageSize {
			return entries, revision, nil
		}
	}
}

// Watch implements mirror.Source.
func (c *simulatedClient) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]mirror.Change, int64, error) {
	if err := c.call("watch"); err != nil {
		return nil, 0, err
	}
	end := time.After(wait)
	for {
		c.store.mu.Lock()
		var found []mirror.Change
		for _, change := range c.store.history[c.store.firstAfterLocked(after):] {
			if c.store.kindOf[change.Revision] == kind && !c.store.missesChanges {
				found = append(found, change)
			}
		}
		down, revision, changed := c.store.down, c.store.revision, c.store.changed
		c.store.mu.Unlock()
		c.mu.Lock()
		down = down || c.cut || c.dead
		c.mu.Unlock()
		if down {
			return nil, 0, errSimulatedReset
		}
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (s *simulatedStore) firstAfterLocked(revision int64) int {
	i, _ := slices.BinarySearchFunc(s.history, revision+1, func(c mirror.Change, r int64) int { return int(c.Revision - r) })
	return i
}

// simulatedDecoder decodes the objects of a simulatedStore.
type simulatedDecoder struct{}

func (simulatedDecoder) Config(e mirror.Entry) (*routes.Config, bool, error) {
	version, err := strconv.ParseInt(string(e.Value), 10, 64)
	return &routes.Config{Version: version}, true, err
}

func (simulatedDecoder) Backend(e mirror.Entry) (backends.Backend, error) {
	return backends.Backend{ID: e.Name, Service: "plain", Address: "10.9.0.1:80"}, nil
}

func (simulatedDecoder) DesiredVersion(e mirror.Entry) (backends.Model, error) {
	version, err := strconv.Atoi(string(e.Value))
	return backends.Model{Name: e.Name, Version: version}, err
}

// simulatedNetwork delivers datagrams and fetches between the nodes of a simulatedFleet.
type simulatedNetwork struct {
	mu    sync.Mutex
	conns map[string]*simulatedConn
	nodes map[string]*Node
	// cut are the addresses that nothing reaches or comes from. datagrams is the number of datagrams sent to each address.
	cut       map[string]bool
	datagrams map[string]int
}

// receiver returns the connection that receives what is sent between two addresses, or nil.
func (n *simulatedNetwork) receiver(from, to string) (*simulatedConn, *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil, nil
	}
	return n.conns[to], n.nodes[to]
}

func (n *simulatedNetwork) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// simulatedConn implements peers.Conn.
type simulatedConn struct {
	network  *simulatedNetwork
	address  string
	received chan []byte
	closed   chan struct{}
	once     sync.Once
}

func (c *simulatedConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case <-c.closed:
		return 0, netip.AddrPort{}, io.ErrClosedPipe
	case data := <-c.received:
		return copy(b, data), netip.AddrPort{}, nil
	}
}

func (c *simulatedConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	address := to.String()
	c.network.mu.Lock()
	c.network.datagrams[address]++
	c.network.mu.Unlock()
	data := slices.Clone(b)
	time.AfterFunc(simulatedLatency, func() {
		if r, _ := c.network.receiver(c.address, address); r != nil {
			select {
			case r.received <- data:
			default:
			}
		}
	})
	return len(b), nil
}

func (c *simulatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// simulatedFetcher fetches for the node at address.
type simulatedFetcher struct {
	network *simulatedNetwork
	address string
}

func (f *simulatedFetcher) Fetch(_ context.Context, address, kind string, since int64) (mirror.Content, error) {
	time.Sleep(2 * simulatedLatency)
	_, n := f.network.receiver(f.address, address)
	if n == nil {
		return mirror.Content{}, errSimulatedReset
	}
	return n.mirrorByKind(kind).Export(since), nil
}

// simulatedFleet is a fleet of nodes at one store, without a network and in the time of package synctest.
type simulatedFleet struct {
	t       *testing.T
	store   *simulatedStore
	network *simulatedNetwork
	nodes   []*Node
	clients []*simulatedClient
	cancels []context.CancelFunc
	seeds   []string
	// linkMbps returns the bandwidth of a node's link.
	linkMbps func(i int) float64
}

func simulatedAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:7000", i/200, 1+i%200) }

// newSimulatedFleet returns a fleet that has not started. Its first three nodes are the seeds.
func newSimulatedFleet(t *testing.T, nodes int) *simulatedFleet {
	f := &simulatedFleet{
		t: t, store: newSimulatedStore(), nodes: make([]*Node, nodes), clients: make([]*simulatedClient, nodes), cancels: make([]context.CancelFunc, nodes),
		network:  &simulatedNetwork{conns: map[string]*simulatedConn{}, nodes: map[string]*Node{}, cut: map[string]bool{}, datagrams: map[string]int{}},
		linkMbps: func(i int) float64 { return []float64{10, 50, 200}[i%3] },
	}
	for i := range 3 {
		f.seeds = append(f.seeds, simulatedAddress(i))
	}
	f.store.put("config", "main", "1")
	f.store.put("versions", "m", "1")
	for i := range 93 {
		f.store.put("servers", fmt.Sprintf("server-%02d", i), "")
	}
	return f
}

// start starts a node.
func (f *simulatedFleet) start(i int, firstStart bool) {
	address := simulatedAddress(i)
	client := &simulatedClient{store: f.store}
	n := New(Options{
		Settings: Settings{
			Name: fmt.Sprint("node-", i), PeerAddress: address, Seeds: f.seeds, ChangeDeadline: 3 * time.Second, LeaderChangeGap: 3 * time.Second,
			OldVersionLimit: 8 * time.Second, LinkMbps: f.linkMbps(i), FirstStart: firstStart,
		},
		Store: client, Kinds: Kinds{Config: "config", Backends: "servers", Versions: "versions"}, Decoder: simulatedDecoder{},
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
	})
	conn := &simulatedConn{network: f.network, address: address, received: make(chan []byte, 4096), closed: make(chan struct{})}
	n.openLink = func(o peers.Options) (*peers.Link, error) { return peers.New(o, conn), nil }
	n.fetcher = &simulatedFetcher{network: f.network, address: address}
	if err := n.connect(); err != nil {
		f.t.Fatal(err)
	}
	f.network.mu.Lock()
	f.network.conns[address], f.network.nodes[address] = conn, n
	f.network.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	f.nodes[i], f.clients[i], f.cancels[i] = n, client, cancel
	n.startBackground(ctx)
}

func (f *simulatedFleet) startAll(firstStart bool) {
	for i := range f.nodes {
		f.start(i, firstStart)
	}
}

// kill ends a node's process.
func (f *simulatedFleet) kill(i int) {
	f.clients[i].set(func() { f.clients[i].dead = true })
	f.network.mu.Lock()
	conn := f.network.conns[simulatedAddress(i)]
	delete(f.network.conns, simulatedAddress(i))
	delete(f.network.nodes, simulatedAddress(i))
	f.network.mu.Unlock()
	f.cancels[i]()
	if conn != nil {
		_ = conn.Close()
	}
}

func (f *simulatedFleet) each(nodes []int, do func(i int)) {
	for _, i := range nodes {
		do(i)
	}
}

func (f *simulatedFleet) killAll() {
	for i := range f.nodes {
		f.kill(i)
	}
}

// stop ends all processes and waits until their goroutines have ended.
func (f *simulatedFleet) stop() {
	for i, n := range f.nodes {
		if n != nil {
			f.kill(i)
		}
	}
	time.Sleep(10 * time.Second)
}

// leader returns the index of the node that holds the lease, or -1.
func (f *simulatedFleet) leader() int {
	return slices.IndexFunc(f.nodes, func(n *Node) bool { return n.controller.HoldsLease() })
}

// without returns the number of nodes that do not fulfil a condition, of those that run and reach the store.
func (f *simulatedFleet) without(condition func(n *Node) bool) int {
	count := 0
	for i, n := range f.nodes {
		c := f.clients[i]
		c.mu.Lock()
		expected := !c.dead && !c.cut
		c.mu.Unlock()
		if expected && !condition(n) {
			count++
		}
	}
	return count
}

// until returns the time until a condition holds at all nodes that run and reach the store, or limit.
func (f *simulatedFleet) until(limit time.Duration, condition func(n *Node) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit && f.without(condition) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// hasConfig returns the condition that a node uses a version of the configuration.
func hasConfig(version int64) func(n *Node) bool {
	return func(n *Node) bool {
		c := n.config.current.Load()
		return c != nil && c.Version >= version
	}
}

// lists returns the condition that a node's mirror holds the entries of a number of servers.
func lists(servers int) func(n *Node) bool {
	return func(n *Node) bool { return len(n.mirrorByKind("servers").Export(0).Entries) == servers }
}

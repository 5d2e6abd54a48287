package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	nodeCount   = 4
	engineCount = 4
	plainCount  = 2
	// startLimit bounds the time until a node is ready.
	startLimit = 15 * time.Second
	// readyEvery is the time between the platform's questions whether a node takes new connections, and
	// readyMisses the misses in a row that take it out.
	readyEvery  = 500 * time.Millisecond
	readyMisses = 2
)

// fleets counts the fleets of this process.
var fleets atomic.Int32

// host returns a loopback address for one fleet alone, so that its ports stay free while nodes restart.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+fleets.Add(1)%64, pid>>8&255, 1+pid%254)
}

// member is one node: a process that faults stop and start again.
type member struct {
	settings standin.NodeSettings
	variable string
	toStore  *proxy
	logPath  string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopping is set while a fault ends the process; any other end is a finding.
	stopping bool
	frozen   int
	// inRotation is the platform's view of the node.
	inRotation bool
	stderr     output
}

// output collects what the processes of a node write. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// backend is an engine with the proxy before it.
type backend struct {
	engine  *standin.Engine
	proxy   *proxy
	service string
	model   string
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	t       *testing.T
	binary  string
	host    string
	store   *standin.Store
	journal *standin.Journal
	server  *http.Server
	members []*member

	mu       sync.Mutex
	backends []*backend
	started  int
	version  int
	config   standin.Config
	port     int
	findings []string
}

func newFleet(t *testing.T, binary string) *fleet {
	f := &fleet{
		t: t, binary: binary, host: host(), store: standin.NewStore(), journal: standin.NewJournal(), version: 1, port: 7000,
		config: standin.Config{Version: 1, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}, {Name: "south", Key: "key-south"}}},
	}
	listener, err := net.Listen("tcp4", f.address())
	require.NoError(t, err)
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	standin.Configure(f.store, f.config)
	standin.SetDesiredVersion(f.store, f.version)
	for range engineCount {
		f.addBackend(standin.EngineService, standin.Model)
	}
	for range plainCount {
		f.addBackend(standin.PlainService, "")
	}
	var seeds []string
	for i := range nodeCount {
		m := &member{settings: standin.NodeSettings{
			Name: fmt.Sprintf("node-%d", i), IP: f.host, ClientAddress: f.address(), ReadyAddress: f.address(), PeerAddress: f.address(),
		}}
		m.toStore, err = newProxy(f.address(), listener.Addr().String())
		require.NoError(t, err)
		m.settings.StoreAddress = m.toStore.address()
		seeds = append(seeds, m.settings.PeerAddress)
		f.members = append(f.members, m)
	}
	dir := t.TempDir()
	for _, m := range f.members {
		m.settings.Seeds = seeds
		m.logPath = filepath.Join(dir, m.settings.Name+".log")
		m.variable, err = standin.WriteSettings(filepath.Join(dir, m.settings.Name+".conf"), m.settings)
		require.NoError(t, err)
	}
	return f
}

// address returns the next free address. Ports below those of outgoing connections stay free.
func (f *fleet) address() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.host, f.port)
}

func (f *fleet) find(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findings = append(f.findings, fmt.Sprintf(format, args...))
}

// addBackend starts an engine behind a proxy of its own.
func (f *fleet) addBackend(service, model string) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener, err := net.Listen("tcp4", f.address())
	if err != nil {
		f.findings = append(f.findings, "harness: "+err.Error())
		return nil
	}
	p, err := newProxy(f.address(), listener.Addr().String())
	if err != nil {
		f.findings = append(f.findings, "harness: "+err.Error())
		return nil
	}
	f.started++
	b := &backend{proxy: p, service: service, model: model, engine: standin.StartEngine(standin.EngineOptions{
		ID: fmt.Sprintf("engine-%d", f.started), Service: service, Model: model, Version: f.version, Store: f.store, Journal: f.journal,
		Listener: listener, Address: p.address(),
	})}
	f.backends = append(f.backends, b)
	return b
}

// removeBackend takes an engine out of the list of those that faults choose from.
func (f *fleet) removeBackend(b *backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, known := range f.backends {
		if known == b {
			f.backends = append(f.backends[:i:i], f.backends[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fleet) backend(i int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[i%len(f.backends)]
}

// start starts a node's process.
func (f *fleet) start(m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.binary)
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), m.variable), log, &m.stderr
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.stopping = c, exited, false
	go func() {
		err := c.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.process, m.frozen = nil, 0
		close(exited)
		if !m.stopping {
			f.find("%s ended by itself: %v: %s", m.settings.Name, err, tail(m.stderr.String()))
		}
	}()
	return nil
}

// tail returns the end of a text.
func tail(text string) string { return text[max(0, len(text)-2000):] }

// signal sends a signal to a node's process, if there is one. ends is set if it will end.
func (m *member) signal(s syscall.Signal, ends bool) (exited <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.stopping = m.stopping || ends
	if err := m.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return m.exited
}

// freeze suspends the process; suspensions overlap.
func (m *member) freeze() {
	m.mu.Lock()
	m.frozen++
	m.mu.Unlock()
	m.signal(syscall.SIGSTOP, false)
}

func (m *member) thaw() {
	m.mu.Lock()
	m.frozen = max(0, m.frozen-1)
	frozen := m.frozen
	m.mu.Unlock()
	if frozen == 0 {
		m.signal(syscall.SIGCONT, false)
	}
}

// watchReady keeps the platform's view which nodes take new connections, until ctx ends.
func (f *fleet) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(func() {
			misses := readyMisses
			for ctx.Err() == nil {
				if standin.IsReady(ctx, client, m.settings.ReadyAddress) {
					misses = 0
				} else {
					misses++
				}
				m.mu.Lock()
				m.inRotation = misses < readyMisses
				m.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(readyEvery):
				}
			}
		})
	}
	group.Wait()
}

// rotation returns the nodes that take new connections, or all if none does.
func (f *fleet) rotation() []*member {
	var in []*member
	for _, m := range f.members {
		m.mu.Lock()
		if m.inRotation {
			in = append(in, m)
		}
		m.mu.Unlock()
	}
	if len(in) == 0 {
		return f.members
	}
	return in
}

// waitReady waits until all nodes are in rotation.
func (f *fleet) waitReady() bool {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.members {
			m.mu.Lock()
			if m.inRotation {
				ready++
			}
			m.mu.Unlock()
		}
		if ready == len(f.members) {
			return true
		}
	}
	return false
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, m := range f.members {
		m.signal(syscall.SIGCONT, true)
		if exited := m.signal(syscall.SIGKILL, true); exited != nil {
			<-exited
		}
		m.toStore.close()
	}
	for len(f.backends) > 0 {
		b := f.backend(0)
		b.engine.Crash()
		b.proxy.close()
		f.removeBackend(b)
	}
	f.server.Close()
}

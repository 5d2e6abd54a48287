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
	// startTimeout is the time within which all nodes must be ready.
	startTimeout = 15 * time.Second
	// readyInterval is the interval of the platform's readiness checks of a node. After maxReadyMisses failed
	// checks in a row, clients open no new connections to the node.
	readyInterval  = 500 * time.Millisecond
	maxReadyMisses = 2
)

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Int32

// loopbackAddress returns a loopback address that no other fleet uses, so that the ports of a node stay free
// while it restarts.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+fleetCount.Add(1)%64, pid>>8&255, 1+pid%254)
}

// member is one node of a fleet. Its process is stopped and restarted by faults.
type member struct {
	settings    standin.NodeSettings
	environment string
	storeProxy  *proxy
	logPath     string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopping is set while a fault terminates the process. An exit without it is a finding.
	stopping    bool
	suspensions int
	// inRotation is set while the node passes the platform's readiness checks.
	inRotation bool
	stderr     outputBuffer
}

// outputBuffer collects the output of the processes of a node. It is safe for concurrent use.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// backend is an engine or a backend server of the plain service, with the proxy in front of it.
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

	mu             sync.Mutex
	backends       []*backend
	enginesStarted int
	version        int
	config         standin.Config
	port           int
	findings       []string
	// quotas is set if a workspace has a quota.
	quotas bool
}

func newFleet(t *testing.T, binary string, seed uint64) *fleet {
	f := &fleet{
		t: t, binary: binary, host: loopbackAddress(), store: standin.NewStore(), journal: standin.NewJournal(), version: 1, port: 7000,
		config: standin.Config{Version: 1, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}, {Name: "south", Key: "key-south"}}},
	}
	if seed >= firstQuotaSeed {
		f.setQuota()
	}
	listener, err := net.Listen("tcp4", f.nextAddress())
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
			Name: fmt.Sprintf("node-%d", i), IP: f.host, ClientAddress: f.nextAddress(), ReadyAddress: f.nextAddress(), PeerAddress: f.nextAddress(),
		}}
		m.storeProxy, err = newProxy(f.nextAddress(), listener.Addr().String())
		require.NoError(t, err)
		m.settings.StoreAddress = m.storeProxy.address()
		seeds = append(seeds, m.settings.PeerAddress)
		f.members = append(f.members, m)
	}
	dir := t.TempDir()
	for _, m := range f.members {
		m.settings.Seeds, m.settings.Quotas = seeds, f.quotas
		m.logPath = filepath.Join(dir, m.settings.Name+".log")
		m.environment, err = standin.WriteSettings(filepath.Join(dir, m.settings.Name+".conf"), m.settings)
		require.NoError(t, err)
	}
	return f
}

// nextAddress returns an unused address. Its port is below the range that the system uses for outgoing
// connections, so no connection can occupy it.
func (f *fleet) nextAddress() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.host, f.port)
}

func (f *fleet) addFinding(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findings = append(f.findings, fmt.Sprintf(format, args...))
}

// addBackend starts an engine, or a backend server if model is empty, behind a proxy of its own. It returns nil
// and adds a finding if a port is in use.
func (f *fleet) addBackend(service, model string) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener, err := net.Listen("tcp4", f.nextAddress())
	if err != nil {
		f.findings = append(f.findings, "harness: "+err.Error())
		return nil
	}
	p, err := newProxy(f.nextAddress(), listener.Addr().String())
	if err != nil {
		f.findings = append(f.findings, "harness: "+err.Error())
		return nil
	}
	f.enginesStarted++
	b := &backend{proxy: p, service: service, model: model, engine: standin.StartEngine(standin.EngineOptions{
		ID: fmt.Sprintf("engine-%d", f.enginesStarted), Service: service, Model: model, Version: f.version, Store: f.store, Journal: f.journal,
		Listener: listener, Address: p.address(),
	})}
	f.backends = append(f.backends, b)
	return b
}

// removeBackend removes a backend from the list that faults choose from. It returns false if it is not there.
func (f *fleet) removeBackend(b *backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, candidate := range f.backends {
		if candidate == b {
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

// start starts a node's process unless it is running.
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
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), m.environment), log, &m.stderr
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.stopping = c, exited, false
	go func() {
		err := c.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.process, m.suspensions = nil, 0
		close(exited)
		if !m.stopping {
			f.addFinding("%s exited unexpectedly: %v: %s", m.settings.Name, err, tail(m.stderr.String()))
		}
	}()
	return nil
}

// tail returns the last 2000 bytes of a text.
func tail(text string) string { return text[max(0, len(text)-2000):] }

// signal sends a signal to a node's process. terminates is set if the signal makes the process exit. The
// returned channel is closed at the exit; it is nil if there is no process or the signal cannot be sent.
func (m *member) signal(s syscall.Signal, terminates bool) (exited <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.stopping = m.stopping || terminates
	if err := m.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return m.exited
}

// signalWhileStopping sends a signal that does not make the process exit, if a fault terminates the process: its successor may
// not handle the signal yet.
func (m *member) signalWhileStopping(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil && m.stopping {
		// The process may have ended.
		_ = m.process.Process.Signal(s)
	}
}

// suspend suspends the process with SIGSTOP. It continues when resume has ended each of the overlapping suspensions.
func (m *member) suspend() {
	m.mu.Lock()
	m.suspensions++
	m.mu.Unlock()
	m.signal(syscall.SIGSTOP, false)
}

func (m *member) resume() {
	m.mu.Lock()
	m.suspensions = max(0, m.suspensions-1)
	remaining := m.suspensions
	m.mu.Unlock()
	if remaining == 0 {
		m.signal(syscall.SIGCONT, false)
	}
}

// pollReadiness runs the platform's readiness checks of all nodes until ctx ends.
func (f *fleet) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(func() {
			misses := maxReadyMisses
			for ctx.Err() == nil {
				if standin.IsReady(ctx, client, m.settings.ReadyAddress) {
					misses = 0
				} else {
					misses++
				}
				m.mu.Lock()
				m.inRotation = misses < maxReadyMisses
				m.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(readyInterval):
				}
			}
		})
	}
	group.Wait()
}

// rotation returns the nodes that pass the readiness checks, or all nodes if none does.
func (f *fleet) rotation() []*member {
	var ready []*member
	for _, m := range f.members {
		m.mu.Lock()
		if m.inRotation {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if len(ready) == 0 {
		return f.members
	}
	return ready
}

// waitReady waits until all nodes are in rotation.
func (f *fleet) waitReady() bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
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

// stop terminates all processes and servers of the fleet.
func (f *fleet) stop() {
	for _, m := range f.members {
		m.signal(syscall.SIGCONT, true)
		if exited := m.signal(syscall.SIGKILL, true); exited != nil {
			<-exited
		}
		m.storeProxy.close()
	}
	for len(f.backends) > 0 {
		b := f.backend(0)
		b.engine.Crash()
		b.proxy.close()
		f.removeBackend(b)
	}
	f.server.Close()
}

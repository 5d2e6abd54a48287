//go:build review2

// Command stand2 runs the cases of the second review that are scripts: the project's node as separate processes, against the
// project's stand-ins of the platform. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

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
	"strings"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

// nodeCommand is the command of deploy/system.toml.
var nodeCommand = []string{"target/cassiawall-node", "--metrics-port", "9464"}

// node is one process of the project's program.
type node struct {
	name, ip, front, ready, peer string
	env                          string
	logPath                      string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	stderr  bytes.Buffer
	// ending is set once the case ends the process. ends counts the ends before.
	ending bool
	ends   int
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir     string
	host    string
	store   *standin.Store
	journal *standin.Journal
	server  *http.Server
	address string
	nodes   []*node
	started time.Time
	// storeOf returns the address of the store for a node. It may be nil.
	storeOf func(m *node) (string, error)

	mu     sync.Mutex
	record *os.File
}

// newFleet starts a store. Its nodes have addresses of their own, because all of them serve their metrics on one port.
func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: standin.NewStore(), journal: standin.NewJournal(), started: time.Now()}
	if f.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f.host = fmt.Sprintf("127.%d.%d", 65+pid>>8&63, pid&255)
	listener, err := net.Listen("tcp4", f.host+".1:0")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// note writes a line to the record, with the time since the start of the case.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
}

// say writes a line to the record and to standard output.
func (f *fleet) say(format string, args ...any) {
	f.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// settings are the lines of a settings file that are the same on all machines, besides addresses and names.
const commonSettings = `role=node
machineClass=front
serves=front,control
zone=a
region=r
zones.a=r
bootstrap=true
lossCounts=false
limits.cores=1
limits.maxFds=2940
limits.linkMbps=700.0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.backMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=116
bounds.recoverS=12
bounds.transitMs=120
bounds.reuseWindowS=10
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.versionMs=8000
bounds.versionAllMs=11000
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
`

// addNodes prepares n nodes. more are further lines of their settings files.
func (f *fleet) addNodes(n int, more string) error {
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", f.host, 10+i)
		m := &node{name: fmt.Sprintf("front-%d", i+1), ip: ip, front: ip + ":8782", ready: ip + ":8789", peer: ip + ":8783"}
		f.nodes = append(f.nodes, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.peer)
		}
	}
	for _, m := range f.nodes {
		store := f.address
		if f.storeOf != nil {
			var err error
			if store, err = f.storeOf(m); err != nil {
				return err
			}
		}
		text := fmt.Sprintf("nodeName=%s\nip=%s\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nseeds=%s\nplatform.address=%s\n",
			m.name, m.ip, m.front, m.ready, m.peer, strings.Join(seeds, ","), store) + commonSettings + more
		path := filepath.Join(f.dir, m.name+".conf")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		m.env, m.logPath = "CASSIAWALL_SETTINGS="+path, filepath.Join(f.dir, m.name+".log")
	}
	return nil
}

// start starts the process of a node.
func (f *fleet) start(m *node) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(nodeCommand[0], nodeCommand[1:]...)
	c.Env = []string{m.env, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, &m.stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	m.process, m.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.ending {
			m.ends++
			f.note("%s: the process has ended: %v", m.name, c.ProcessState)
		}
		close(exited)
	}(m.exited)
	f.note("%s started, process serves clients at %s", m.name, m.front)
	return nil
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.nodes {
		if err := f.start(m); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.nodes {
			if standin.IsReady(context.Background(), client, m.ready) {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.note("all nodes are ready")
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

// signal sends a signal to the process of a node.
func (m *node) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// pid returns the process id of a node.
func (m *node) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// stop ends all processes, by their ids, and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.nodes {
		m.mu.Lock()
		m.ending = true
		exited := m.exited
		m.mu.Unlock()
		if exited == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-exited
	}
	_ = f.server.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, m := range f.nodes {
			_ = os.WriteFile(filepath.Join(keep, m.name+".stderr"), m.stderr.Bytes(), 0o600)
			if log, err := os.ReadFile(m.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), log, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// addEngine starts a model engine, or a server of the plain service without a model, on a port that is free.
func (f *fleet) addEngine(id, service, model string) (*standin.Engine, error) {
	listener, err := net.Listen("tcp4", f.host+".1:0")
	if err != nil {
		return nil, err
	}
	return standin.StartEngine(standin.EngineOptions{
		ID: id, Service: service, Model: model, Version: 1, Store: f.store, Journal: f.journal, Listener: listener,
	}), nil
}

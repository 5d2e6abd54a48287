package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// Bounds of the deployment, as in the site file of kilele-booking.
const (
	contact = 3 * time.Second
	grace   = 8 * time.Second
	drain   = 2 * time.Second
)

const nodeCommand = "target/cassiawall-node --metrics-port 9464"

// errHarness marks a case that could not run.
var errHarness = errors.New("the case could not run")

// deployment is a small deployment on loopback addresses: nodes as processes, servers and the store in this process.
type deployment struct {
	rec   *recorder
	store http.Handler
	// objects is the content of the store.
	objects *standin.Store
	dir     string
	prefix  string
	nodes   []*node

	mu      sync.Mutex
	port    int
	servers []*server
}

type node struct {
	name, ip, client, ready string
	config                  string
	log                     string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newDeployment finds free loopback addresses for the nodes. serve wraps the store's handler.
func newDeployment(rec *recorder, nodes int, wrap func(http.Handler) http.Handler) (*deployment, error) {
	dir, err := os.MkdirTemp("", "cassiawall-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, objects: standin.NewStore(), dir: dir, port: 7100}
	d.store = wrap(d.objects)
	d.stopOnSignal()
	for try := 0; ; try++ {
		d.prefix = fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%64, os.Getpid()>>6&255)
		if d.free(nodes) {
			break
		}
		if try == 50 {
			return nil, fmt.Errorf("%w: no free loopback addresses", errHarness)
		}
	}
	listener, err := net.Listen("tcp4", d.prefix+".1:7100")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, d.store) }()
	var seeds []string
	for i := range nodes {
		ip := fmt.Sprintf("%s.%d", d.prefix, 10+i)
		n := &node{name: fmt.Sprintf("node-%d", i), ip: ip, client: ip + ":7001", ready: ip + ":7002"}
		n.config, n.log = filepath.Join(dir, n.name+".conf"), filepath.Join(dir, n.name+".log")
		d.nodes = append(d.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, ip+":7003")
		}
	}
	for _, n := range d.nodes {
		if err := os.WriteFile(n.config, []byte(settings(n, seeds, listener.Addr().String())), 0o600); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// free reports whether the addresses of the nodes and the store are free.
func (d *deployment) free(nodes int) bool {
	addresses := []string{d.prefix + ".1:7100"}
	for i := range nodes {
		for _, port := range []int{7001, 7002, 7003, 9464} {
			addresses = append(addresses, fmt.Sprintf("%s.%d:%d", d.prefix, 10+i, port))
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp4", a)
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func settings(n *node, seeds []string, store string) string {
	return fmt.Sprintf(`nodeName=%s
role=node
machineClass=front
serves=front,control
ip=%s
zone=a
region=r
zones.a=r
listen.front=%s
listen.ready=%s
listen.control=%s:7003
portRange=7340,7355
seeds=%s
bootstrap=true
lossCounts=false
limits.cpuShare=0.272
limits.cores=1
limits.memoryMb=120
limits.maxFds=2940
limits.linkMbps=700.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=116
bounds.recoverS=12
bounds.requireFence=false
bounds.leaseMs=3000
bounds.versionMs=8000
bounds.versionAllMs=11000
platform.address=%s
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
`, n.name, n.ip, n.client, n.ready, n.ip, strings.Join(seeds, ","), store)
}

// start starts all nodes and waits until they are ready and in touch.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return fmt.Errorf("%w: %w", errHarness, err)
		}
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if resp, err := client.Get("http://" + n.ready + platform.ReadyPath); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.nodes) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: nodes are not ready", errHarness)
		}
	}
	time.Sleep(contact)
	d.rec.note("all nodes have been ready for %v", contact)
	return nil
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(nodeCommand)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+n.config)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		// The exit is observed by the channel.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process unless it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		_ = n.cmd.Process.Signal(s)
	}
}

// stopOnSignal ends all processes if this one is interrupted or terminated.
func (d *deployment) stopOnSignal() {
	// The nodes start with the default effect of SIGHUP, also if this process was started with SIGHUP ignored, as nohup does.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(2)
	}()
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.cmd == nil {
			continue
		}
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	os.RemoveAll(d.dir)
}

// route is one route of the configuration.
func route(kind, prefix, service string, attempts int, resumable bool, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": prefix, "host": standin.Host, "pathPrefix": "/" + prefix + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(), "sloMs": 500,
		"service": service, "attempts": attempts, "resumable": resumable, "sticky": false, "gapTargetMs": 300,
	}
}

// configure stores the configuration.
func (d *deployment) configure(routes ...map[string]any) {
	d.objects.Put(platform.KindConfig, "main", map[string]any{
		"version": 1, "routes": routes, "tenants": []any{map[string]any{"name": "north", "apiKeys": []string{"key-north"}}},
		"services": []any{
			map[string]any{"name": "engines", "engine": map[string]any{"slots": 48}, "maxConns": 643},
			map[string]any{"name": "plain", "maxConns": 214},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.objects.Put(platform.KindVersions, standin.Model, map[string]any{"model": standin.Model, "version": 1})
}

// recorder writes record.txt.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	out   io.Writer
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

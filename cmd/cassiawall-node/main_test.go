package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

// programVariable is the environment variable that makes the test binary run the program.
const programVariable = "CASSIAWALL_TEST_NODE"

// waitTimeout is the time within which a process must be ready, or read its settings.
const waitTimeout = 15 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node in a process of its own.
type process struct {
	*exec.Cmd
	output *bytes.Buffer
	ended  chan struct{}
	err    error
}

// startProcess starts a node with a settings file that the environment variable names, and with a standard output, unless it
// is nil. It ends with the test.
func startProcess(t *testing.T, variable string, stdout *os.File) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), output: &bytes.Buffer{}, ended: make(chan struct{})}
	p.Env = append(os.Environ(), programVariable+"=1", variable)
	p.Stdout, p.Stderr = p.output, p.output
	if stdout != nil {
		p.Stdout = stdout
	}
	require.NoError(t, p.Start())
	go func() {
		defer close(p.ended)
		p.err = p.Wait()
	}()
	t.Cleanup(func() {
		// The process may have ended.
		_ = p.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Log(p.output.String())
		}
	})
	return p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startNode starts a node beside a store, an engine and a server of the plain service, with a timeout of all routes, and waits until it is ready.
func startNode(t *testing.T, timeout time.Duration, stdout *os.File) (p *process, clientAddress string, plain *standin.Engine, journal *standin.Journal) {
	t.Helper()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	standin.Configure(store, standin.Config{Version: 1, Timeout: timeout, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	standin.SetDesiredVersion(store, 1)
	journal = standin.NewJournal()
	start := func(id, service, model string) *standin.Engine {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		e := standin.StartEngine(standin.EngineOptions{ID: id, Service: service, Model: model, Version: 1, Store: store, Journal: journal, Listener: l})
		t.Cleanup(e.Crash)
		return e
	}
	start("engine-1", standin.EngineService, standin.Model)
	plain = start("plain-1", standin.PlainService, "")
	settings := standin.NodeSettings{
		Name: "node-1", IP: "127.0.0.1", ClientAddress: freeAddress(t), ReadyAddress: freeAddress(t), PeerAddress: freeAddress(t),
		StoreAddress: strings.TrimPrefix(server.URL, "http://"),
	}
	variable, err := standin.WriteSettings(filepath.Join(t.TempDir(), "settings"), settings)
	require.NoError(t, err)
	p = startProcess(t, variable, stdout)
	require.Eventually(t, func() bool { return standin.IsReady(t.Context(), http.DefaultClient, settings.ReadyAddress) }, waitTimeout, 20*time.Millisecond)
	return p, settings.ClientAddress, plain, journal
}

// Guards against a SIGHUP that ends a node during its shutdown, and cuts its running requests.
func TestHangupDuringShutdownCutsNoRequest(t *testing.T) {
	p, address, _, _ := startNode(t, 4*time.Second, nil)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	var group sync.WaitGroup
	responses := make([]standin.Response, 20)
	for i := range responses {
		group.Go(func() {
			responses[i] = standin.Send(t.Context(), http.DefaultClient, address, standin.Request{
				ID: fmt.Sprint("r", i), Kind: standin.Stream, Key: "key-north", Deadline: 3 * time.Second,
			})
		})
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	}
	group.Wait()
	for i, r := range responses {
		assert.Truef(t, r.Complete && r.Status == http.StatusOK, "request %d: status %d: %v", i, r.Status, r.Err)
	}
	<-p.ended
	assert.NoError(t, p.err)
}

// Guards against a SIGHUP that ends a process before it has read its settings.
func TestHangupBeforeTheSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	variable, err := standin.WriteSettings(filepath.Join(t.TempDir(), "settings"), standin.NodeSettings{})
	require.NoError(t, err)
	name, _, _ := strings.Cut(variable, "=")
	p := startProcess(t, name+"="+path, nil)
	// The open blocks until the process reads.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	select {
	case <-p.ended:
	case <-time.After(500 * time.Millisecond):
	}
	_, err = settings.WriteString("invalid")
	assert.NoError(t, err)
	settings.Close()
	<-p.ended
	assert.EqualError(t, p.err, "exit status 1", "the settings are refused")
}

// Guards against requests that a stopping node takes and then ends without an answer, and against requests that may run
// only once and are sent although the node may stop before their responses.
func TestRequestsThatOutliveTheNodeAreAnswered(t *testing.T) {
	const routeTimeout = 30 * time.Second
	p, address, plain, journal := startNode(t, routeTimeout, nil)
	send := func(id string, kind standin.Kind, deadline time.Duration) standin.Response {
		return standin.Send(t.Context(), http.DefaultClient, address, standin.Request{ID: id, Kind: kind, Key: "key-north", Deadline: deadline})
	}
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, http.StatusOK, send("short", standin.Unsafe, 3*time.Second).Status)
	refused := send("long", standin.Unsafe, routeTimeout)
	assert.Equal(t, http.StatusServiceUnavailable, refused.Status)
	plain.FallSilent(routeTimeout)
	var group sync.WaitGroup
	for id, kind := range map[string]standin.Kind{"safe": standin.Safe, "unsafe": standin.Unsafe} {
		deadline := routeTimeout
		if kind == standin.Unsafe {
			deadline = 6 * time.Second
		}
		group.Go(func() {
			r := send(id, kind, deadline)
			assert.True(t, r.Complete && (r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout), "%s: status %d: %v", id, r.Status, r.Err)
		})
	}
	group.Wait()
	<-p.ended
	assert.NoError(t, p.err)
	assert.NotContains(t, journal.Executions(), "long", "the refusal states that it has not run")
}

// Guards against a node that ends, with its requests, because the process that reads its log has ended.
func TestNodeOutlivesTheReaderOfItsLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	p, address, _, _ := startNode(t, 4*time.Second, writer)
	reader.Close()
	writer.Close()
	for i := range 20 {
		// A rejected request writes a log line at once.
		rejected := standin.Send(t.Context(), http.DefaultClient, address, standin.Request{ID: fmt.Sprint("x", i), Kind: standin.Safe, Path: "/none", Deadline: 3 * time.Second})
		assert.Equal(t, http.StatusNotFound, rejected.Status)
		time.Sleep(10 * time.Millisecond)
	}
	served := standin.Send(t.Context(), http.DefaultClient, address, standin.Request{ID: "r", Kind: standin.Stream, Key: "key-north", Deadline: 3 * time.Second})
	assert.True(t, served.Complete && served.Status == http.StatusOK, "status %d: %v", served.Status, served.Err)
	select {
	case <-p.ended:
		t.Error("the process has ended: ", p.err)
	default:
	}
}

package hostile

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

// Limits of the nodes under test, and the crowd that exceeds them.
const (
	nodeMemoryMB    = 48
	nodeDescriptors = 2000
	nodeClients     = 400
	// fewDescriptors is the limit of the test of descriptors, below the number of clients.
	fewDescriptors = 360
)

var nodeBounds = bounds{memoryMB: nodeMemoryMB, descriptors: nodeDescriptors}

// startNode starts a node of the users' platform beside a store, a plain server and an engine whose streams do not end.
func startNode(t *testing.T, memoryMB, descriptors int) *target {
	t.Helper()
	return startNodeWith(t, nodeOptions{memoryMB: memoryMB, descriptors: descriptors})
}

// nodeOptions are the limits of a node, its configuration's limit of a body, or 0 for that of the stand-in, and further
// variables of its environment.
type nodeOptions struct {
	memoryMB, descriptors int
	maxBodyBytes          int64
	environment           []string
}

func startNodeWith(t *testing.T, opt nodeOptions) *target {
	t.Helper()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	standin.Configure(store, standin.Config{
		Version: 1, Timeout: 60 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}, MaxBodyBytes: opt.maxBodyBytes,
	})
	standin.SetDesiredVersion(store, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	plain := standin.StartEngine(standin.EngineOptions{ID: "plain-1", Service: standin.PlainService, Store: store, Journal: standin.NewJournal(), Listener: listener})
	t.Cleanup(plain.Crash)
	t.Cleanup(standin.StartEndlessEngine(store, "engine-1", 4*nodeClients))
	metrics := freeAddress(t)
	ip, metricsPort, err := net.SplitHostPort(metrics)
	require.NoError(t, err)
	settings := standin.NodeSettings{
		Name: "node-1", IP: ip, ClientAddress: freeAddress(t), ReadyAddress: freeAddress(t), PeerAddress: freeAddress(t),
		StoreAddress: strings.TrimPrefix(server.URL, "http://"), MemoryMB: opt.memoryMB, MaxDescriptors: opt.descriptors,
	}
	variable, err := standin.WriteSettings(filepath.Join(t.TempDir(), "settings"), settings)
	require.NoError(t, err)
	s := &target{
		process: start(t, append([]string{variable}, opt.environment...), "cassiawall-node", "--metrics-port", metricsPort, "--log-level", "warn"),
		clients: settings.ClientAddress, key: "key-north",
		others: map[string]string{"control": settings.PeerAddress, "readiness": settings.ReadyAddress, "metrics": metrics},
	}
	s.head = func(method string, kind standin.Kind) string {
		return standin.RequestHead(method, standin.Request{ID: "hostile", Kind: kind, Key: s.key, Deadline: 4 * time.Second})
	}
	s.stream = s.head("POST", standin.Stream) + "Content-Length: 0\r\n\r\n"
	s.request = func(ctx context.Context) error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if !standin.IsReady(ctx, client, settings.ReadyAddress) {
			return fmt.Errorf("the readiness check fails")
		}
		r := standin.Send(ctx, client, s.clients, standin.Request{ID: fmt.Sprint("r", time.Now().UnixNano()), Kind: standin.Safe, Key: s.key, Deadline: 4 * time.Second})
		if r.Status != http.StatusOK || !r.Signed || !r.Complete {
			return fmt.Errorf("status %d, error %v", r.Status, r.Err)
		}
		return nil
	}
	require.Eventually(t, func() bool { return s.request(t.Context()) == nil }, startTimeout, 50*time.Millisecond)
	return s
}

// testNode checks that a node withstands crowds of some kinds, which share its clients evenly.
func testNode(t *testing.T, kinds ...kind) {
	t.Helper()
	s := startNode(t, nodeMemoryMB, nodeDescriptors)
	for _, k := range kinds {
		crowd(t, s, s.clients, nodeClients/len(kinds), k)
	}
	time.Sleep(holdTime)
	s.withstands(t, nodeBounds)
}

// Guards against heads within the limit of bytes whose many small fields take ten times as much memory.
func TestUnterminatedHeads(t *testing.T) { testNode(t, unterminatedHeads) }

// Guards against heads that never end.
func TestEndlessFields(t *testing.T) { testNode(t, endlessFields) }

// Guards against request lines and fields that never end.
func TestEndlessLines(t *testing.T) {
	for _, k := range []kind{endlessLine, endlessField} {
		t.Run(k.name, func(t *testing.T) { testNode(t, k) })
	}
}

// Guards against empty lines before a request that never end.
func TestEmptyLines(t *testing.T) {
	for _, k := range []kind{emptyLines, lineFeeds} {
		t.Run(k.name, func(t *testing.T) { testNode(t, k) })
	}
}

// Guards against chunk extensions and trailers that never end.
func TestChunkExtensionsAndTrailers(t *testing.T) {
	for _, k := range []kind{chunkExtensions, trailers, slowTrailers} {
		t.Run(k.name, func(t *testing.T) { testNode(t, k) })
	}
}

// Guards against bodies that stall before their last byte, and take the memory that bodies of ordinary requests need.
func TestStalledBodies(t *testing.T) {
	for _, k := range []kind{stalledBodies, smallStalled} {
		t.Run(k.name, func(t *testing.T) { testNode(t, k) })
	}
}

// Guards against large bodies that stall and keep out those of ordinary requests.
func TestLargeBodyBesideStalledOnes(t *testing.T) {
	s := startNode(t, nodeMemoryMB, nodeDescriptors)
	crowd(t, s, s.clients, nodeClients/20, stalledBodies)
	require.Eventually(t, func() bool {
		r := standin.Send(t.Context(), http.DefaultClient, s.clients, standin.Request{
			ID: fmt.Sprint("r", time.Now().UnixNano()), Kind: standin.Unsafe, Key: s.key, Deadline: 4 * time.Second, Body: strings.Repeat("b", bodyBytes),
		})
		return r.Status == http.StatusOK && r.Complete
	}, answerTimeout, 100*time.Millisecond)
	s.withstands(t, nodeBounds)
}

// Guards against bodies of legal size that arrive at once, in any framing, and stay unfinished or come again.
func TestBodiesOfAnyFraming(t *testing.T) {
	kinds := newBodyKinds(bodyBytes)
	for _, k := range []kind{kinds.whole, kinds.pieces, kinds.stalled, kinds.largeChunks, kinds.oneChunk, kinds.smallChunks, kinds.wholeChunked} {
		t.Run(k.name, func(t *testing.T) {
			s := startNode(t, nodeMemoryMB, nodeDescriptors)
			s.withstandsCrowds(t, nodeBounds, func() {}, attackers{kind: k, address: s.clients, clients: nodeClients})
		})
	}
}

// Guards against bounds that refuse the largest body of the users' deployments on the smallest machine, whole or in chunks.
func TestLargestBodyIsServed(t *testing.T) {
	s := startNodeWith(t, nodeOptions{memoryMB: slowMemoryMB, descriptors: slowDescriptors, maxBodyBytes: maxBodyBytes})
	for name, rest := range map[string]string{
		"whole":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("b", maxBodyBytes)),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", maxBodyBytes, strings.Repeat("b", maxBodyBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, s.clients)
			require.True(t, write(c, s.head("POST", standin.Unsafe)+rest))
			require.NoError(t, c.SetReadDeadline(time.Now().Add(answerTimeout)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

// Guards against streams that are requested and not read.
func TestUnreadStreams(t *testing.T) { testNode(t, unreadStreams) }

// Guards against several kinds at once that each stay within their bounds.
func TestKindsAtOnce(t *testing.T) {
	for _, pair := range [][]kind{{unterminatedHeads, stalledBodies}, {endlessFields, unreadStreams}} {
		t.Run(pair[0].name+" and "+pair[1].name, func(t *testing.T) { testNode(t, pair...) })
	}
}

// reconnectTime is the time for which a crowd reconnects.
const reconnectTime = 30 * time.Second

// Guards against memory or descriptors that grow while clients connect again at once.
func TestReconnectingCrowd(t *testing.T) {
	s := startNode(t, nodeMemoryMB, nodeDescriptors)
	crowd(t, s, s.clients, nodeClients/8, reconnectingHead)
	crowd(t, s, s.clients, nodeClients/8, reconnectingRuns)
	time.Sleep(reconnectTime)
	s.withstands(t, nodeBounds)
}

// Guards against clients that take the descriptors which connections to engines, peers and the store need.
func TestConnectionsBeyondTheDescriptors(t *testing.T) {
	s := startNode(t, nodeMemoryMB, fewDescriptors)
	crowd(t, s, s.clients, nodeClients, idleConnections)
	time.Sleep(holdTime)
	s.withstands(t, bounds{memoryMB: nodeMemoryMB, descriptors: fewDescriptors})
}

// Guards against limits that hold at the clients' listener only.
func TestOtherListenersOfTheNode(t *testing.T) {
	for _, name := range []string{"control", "readiness", "metrics"} {
		t.Run(name, func(t *testing.T) {
			s := startNode(t, nodeMemoryMB, fewDescriptors)
			crowd(t, s, s.others[name], nodeClients/2, endlessFields)
			crowd(t, s, s.others[name], nodeClients/2, idleConnections)
			time.Sleep(holdTime)
			s.withstands(t, bounds{memoryMB: nodeMemoryMB, descriptors: fewDescriptors})
		})
	}
}

// Guards against a new limit that an ordinary request meets: a head of 16,384 bytes with as many fields as fit, and a large
// body.
func TestLargestOrdinaryRequestIsServed(t *testing.T) {
	s := startNode(t, nodeMemoryMB, nodeDescriptors)
	head := s.head("POST", standin.Unsafe) + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n"
	const maxHeadBytes = 16384
	head += strings.Repeat("a:\n", (maxHeadBytes-len(head)-2)/len("a:\n")) + "\r\n"
	c, err := net.Dial("tcp4", s.clients)
	require.NoError(t, err)
	defer c.Close()
	require.True(t, write(c, head+strings.Repeat("b", bodyBytes)))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(answerTimeout)))
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = c.Read(status)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(status))
}

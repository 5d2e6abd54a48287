package fleet

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cassiawall.example/cassiawall/platform/standin"
)

// Guards against requests that end without a complete response or a refusal because half of the servers, or all, are silent for longer
// than two seconds, while the store and one node's peers are silent too and new configurations come.
func TestLongSilencesOfServersStoreAndPeersLoseNoRequest(t *testing.T) {
	t.Parallel()
	const (
		nodes             = 3
		silence, goingOn  = 2600 * time.Millisecond, 700 * time.Millisecond
		requestInterval   = 60 * time.Millisecond
		configureInterval = 700 * time.Millisecond
		// timeout is far longer than a silence and a stream, also on a machine without processor time to spare.
		timeout = 40 * time.Second
	)
	f := startFleet(t, nodes, func(f *fleet) { f.addEngines(4); f.addPlain(4) })
	f.setTimeout(timeout)
	var sending sync.WaitGroup
	stopConfiguring := f.configureEvery(configureInterval, timeout)
	kinds := []standin.Kind{standin.Resumable, standin.Stream, standin.Safe, standin.Unsafe}
	var served [4]atomic.Int64
	// Each node is cut off from its peers once, so that the leader is, too.
	for cutOff := range nodes {
		for i, kind := range kinds {
			sending.Go(func() {
				for n, end := 0, time.Now().Add(goingOn+silence); time.Now().Before(end); n++ {
					sending.Go(func() {
						r := standin.Send(t.Context(), f.client, f.clientAddresses[(n+i)%nodes], standin.Request{
							ID: fmt.Sprintf("%s-%s-%d-%d", t.Name(), kind, cutOff, n), Kind: kind, Key: "key-north", Deadline: timeout,
						})
						refused := r.Complete && r.Status == http.StatusServiceUnavailable
						assert.True(t, refused || r.Complete && r.Status == http.StatusOK, "%s: status %d, complete: %v, %v", kind, r.Status, r.Complete, r.Err)
						if !refused {
							served[i].Add(1)
						}
					})
					time.Sleep(requestInterval)
				}
			})
		}
		time.Sleep(goingOn)
		for i, e := range f.engines {
			if i%2 == cutOff%2 || cutOff == nodes-1 {
				e.FallSilent(silence)
			}
		}
		f.store.SetFault(standin.StoreUnresponsive)
		restore := f.cutOffFromPeers(cutOff)
		time.Sleep(silence)
		restore()
		f.store.SetFault(standin.StoreHealthy)
	}
	sending.Wait()
	stopConfiguring()
	for i, kind := range kinds {
		assert.Positive(t, served[i].Load(), kind)
	}
}

// cutOffFromPeers drops all datagrams between a node and the others, until the returned function is called.
func (f *fleet) cutOffFromPeers(node int) (restore func()) {
	f.t.Helper()
	const sourcePortOffset = 0
	port := uint32(f.peerAddress(node).Port)
	fromNode := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_H | unix.BPF_ABS, K: sourcePortOffset},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: port, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
	}
	all := fromNode[2:3]
	var sockets []int
	for i := range f.clientAddresses {
		filter := fromNode
		if i == node {
			filter = all
		}
		fd := f.peerSocket(i)
		sockets = append(sockets, fd)
		require.NoError(f.t, unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}))
	}
	return func() {
		for _, fd := range sockets {
			assert.NoError(f.t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0))
		}
	}
}

// peerAddress returns the address at which a node exchanges messages with the others.
func (f *fleet) peerAddress(node int) *net.UDPAddr {
	address, err := net.ResolveUDPAddr("udp4", f.peerAddresses[node])
	require.NoError(f.t, err)
	return address
}

// peerSocket returns the file descriptor of a node's socket for datagrams. The nodes are in this process.
func (f *fleet) peerSocket(node int) int {
	address := f.peerAddress(node)
	const maxDescriptors = 1 << 14
	for fd := range maxDescriptors {
		kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
		if err != nil || kind != unix.SOCK_DGRAM {
			continue
		}
		// Sockets of another kind of address are none of a node.
		name, _ := unix.Getsockname(fd)
		if ip4, ok := name.(*unix.SockaddrInet4); ok && ip4.Port == address.Port && net.IP(ip4.Addr[:]).Equal(address.IP) {
			return fd
		}
	}
	require.Fail(f.t, "the node has no socket", "node %d", node)
	return -1
}

package hostile

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listenState is the state of a listening socket in /proc/net/tcp. Its receive queue is a number of connections.
const listenState = "0A"

// socketBytes returns what the system holds for a process, in bytes: what it has received and the process has not read, and
// what the process has written and its peers have not received. It counts the connections of the process's descriptors, and those
// that its listeners have not accepted yet or that it has just closed.
func socketBytes(pid int, listeners map[string]bool) (unread, unsent int64, err error) {
	sockets, err := socketInodes(pid)
	if err != nil {
		return 0, 0, err
	}
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		text, err := os.ReadFile(table)
		if err != nil {
			return 0, 0, err
		}
		for line := range bytes.Lines(text) {
			f := strings.Fields(string(line))
			if len(f) < 10 || f[0] == "sl" || f[3] == listenState || !sockets[f[9]] && !listeners[localAddress(f[1])] {
				continue
			}
			sending, receiving, _ := strings.Cut(f[4], ":")
			s, err := strconv.ParseInt(sending, 16, 64)
			if err != nil {
				return 0, 0, err
			}
			r, err := strconv.ParseInt(receiving, 16, 64)
			if err != nil {
				return 0, 0, err
			}
			unsent += s
			unread += r
		}
	}
	return unread, unsent, nil
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) (map[string]bool, error) {
	directory := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	inodes := make(map[string]bool, len(entries))
	for _, e := range entries {
		// The descriptor may have been closed.
		link, _ := os.Readlink(directory + e.Name())
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// localAddress returns an address of /proc/net/tcp or /proc/net/tcp6 in the usual form.
func localAddress(text string) string {
	host, port, _ := strings.Cut(text, ":")
	b, err := hex.DecodeString(host)
	if err != nil || len(b)%4 != 0 {
		return ""
	}
	// Each word is in the byte order of the machine, which is that of little endian on x86-64 and arm64.
	for i := 0; i < len(b); i += 4 {
		b[i], b[i+1], b[i+2], b[i+3] = b[i+3], b[i+2], b[i+1], b[i]
	}
	address, _ := netip.AddrFromSlice(b)
	n, _ := strconv.ParseUint(port, 16, 16)
	return netip.AddrPortFrom(address.Unmap(), uint16(n)).String()
}

// Guards against an address that is not recognised, whose connections would not be counted.
func TestLocalAddress(t *testing.T) {
	assert.Equal(t, "127.0.0.1:8080", localAddress("0100007F:1F90"))
	assert.Equal(t, "127.0.0.1:8080", localAddress("0000000000000000FFFF00000100007F:1F90"))
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0, fmt.Errorf("unexpected format: %q", text)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// memoryPeaks are the largest samples of a process's memory, in units of 2^20 bytes.
type memoryPeaks struct {
	// together is the largest sum of the others at a moment.
	resident, unread, unsent, together float64
}

// sampleMemory adds a sample to the peaks. It returns an error once the process has ended.
func (p *memoryPeaks) sampleMemory(pid int, listeners map[string]bool) error {
	unread, unsent, err := socketBytes(pid, listeners)
	if err != nil {
		return err
	}
	resident, err := residentBytes(pid)
	if err != nil {
		return err
	}
	const mb = 1 << 20
	p.resident = max(p.resident, float64(resident)/mb)
	p.unread = max(p.unread, float64(unread)/mb)
	p.unsent = max(p.unsent, float64(unsent)/mb)
	p.together = max(p.together, float64(resident+unread+unsent)/mb)
	return nil
}

// Guards against a count that misses connections, with a listener that accepts nothing.
func TestSocketBytesAreCounted(t *testing.T) {
	address := freeAddress(t)
	l := listen(t, address)
	c := dial(t, address)
	const sent = 10_000
	require.True(t, write(c, strings.Repeat("b", sent)))
	require.Eventually(t, func() bool {
		unread, _, err := socketBytes(os.Getpid(), map[string]bool{address: true})
		return err == nil && unread == sent
	}, startTimeout, sampleInterval)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	unread, _, err := socketBytes(os.Getpid(), nil)
	require.NoError(t, err)
	assert.EqualValues(t, sent, unread)

	// The client reads nothing, so its receive buffer fills.
	const block = 64 << 10
	require.NoError(t, accepted.SetWriteDeadline(time.Now().Add(sampleInterval)))
	for write(accepted, strings.Repeat("b", block)) {
	}
	_, unsent, err := socketBytes(os.Getpid(), nil)
	require.NoError(t, err)
	assert.Positive(t, unsent)
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// Package hostile tests what clients that nobody controls can make the project's programs hold. The tests run the programs as
// processes on loopback addresses, one at a time, with lowered limits and small crowds, and check only what does not depend
// on the speed of the machine.
package hostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// startTimeout is the time within which a process must be ready.
	startTimeout = 20 * time.Second
	// answerTimeout is the time within which an ordinary request must be answered while a crowd stays connected.
	answerTimeout = 20 * time.Second
	// sampleInterval is the time between counts of the open descriptors.
	sampleInterval = 50 * time.Millisecond
)

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cassiawall-hostile-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	// The programs are built without the race detector, which multiplies their memory.
	build := exec.Command("go", "build", "-o", dir, "cassiawall.example/cassiawall/cmd/cassiawall", "cassiawall.example/cassiawall/cmd/cassiawall-node")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, output)
		return 1
	}
	return m.Run()
}

// process is a program under test.
type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	ended   chan struct{}

	mu             sync.Mutex
	maxDescriptors int
}

// start runs a program until the end of the test.
func start(t *testing.T, environment []string, program string, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(filepath.Join(binaries, program), args...), output: &bytes.Buffer{}, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	require.NoError(t, p.command.Start())
	go func() {
		defer close(p.ended)
		// isAlive reports the end.
		_ = p.command.Wait()
	}()
	go p.countDescriptors()
	t.Cleanup(func() {
		// The process may have ended.
		_ = p.command.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Log(tail(p.output.String()))
		}
	})
	return p
}

// tail returns the last lines of an output.
func tail(output string) string {
	const maxBytes = 8 << 10
	return output[max(0, len(output)-maxBytes):]
}

func (p *process) countDescriptors() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err != nil {
			return
		}
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, len(entries))
		p.mu.Unlock()
	}
}

// descriptors returns the largest number of open descriptors so far.
func (p *process) descriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxDescriptors
}

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMB returns the largest resident memory so far in units of 2^20 bytes.
func (p *process) peakMB(t *testing.T) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	match := peakPattern.FindSubmatch(status)
	require.NotNil(t, match, "the process has ended")
	kb, err := strconv.Atoi(string(match[1]))
	require.NoError(t, err)
	return float64(kb) / 1024
}

// target is a program under test with what an ordinary client needs to use it.
type target struct {
	*process
	// clients is the address of the clients' listener, and others are those of all other listeners.
	clients string
	others  map[string]string
	// key is that of ordinary requests, and head returns the unfinished head of one.
	key  string
	head func(method string, kind standin.Kind) string
	// stream is a request for a long stream.
	stream string
	// request sends one ordinary request and returns an error unless it is served.
	request func(ctx context.Context) error
}

// bounds are what a process must stay under.
type bounds struct {
	memoryMB    float64
	descriptors int
}

// withstands checks that the process is alive and within its bounds, and that it serves an ordinary request.
func (s *target) withstands(t *testing.T, b bounds) {
	t.Helper()
	require.True(t, s.isAlive(), "the process has ended")
	var last error
	answered := false
	for deadline := time.Now().Add(answerTimeout); !answered && time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		last = s.request(ctx)
		cancel()
		if answered = last == nil; !answered {
			time.Sleep(100 * time.Millisecond)
		}
	}
	assert.True(t, answered, "no ordinary request is answered: %v", last)
	require.True(t, s.isAlive(), "the process has ended")
	peak := s.peakMB(t)
	t.Logf("peak %.0f MB, %d descriptors", peak, s.descriptors())
	assert.LessOrEqual(t, peak, b.memoryMB, "resident memory in MB")
	assert.LessOrEqual(t, s.descriptors(), b.descriptors, "open descriptors")
}

// lastPort is the last port in use on the loopback address of this process. The ports are below the range that the system
// uses for outgoing connections, so no client of a crowd can occupy one.
var lastPort atomic.Int32

// freeAddress returns an unused address.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 192+pid>>16&31, pid>>8&255, 1+pid%254)
	for {
		address := fmt.Sprintf("%s:%d", host, 7000+lastPort.Add(1))
		l, err := net.Listen("tcp4", address)
		if err == nil {
			require.NoError(t, l.Close())
			return address
		}
		require.Less(t, lastPort.Load(), int32(10000), "no free address: %v", err)
	}
}

package hostile

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// endlessBytes is what a client sends of an item that never ends, many times the limit of any head.
	endlessBytes = 256 << 10
	// endlessTimeout bounds the time in which it is sent.
	endlessTimeout = 8 * time.Second
	// settleTimeout bounds the time until all clients of a crowd have sent what they send.
	settleTimeout = 60 * time.Second
	// holdTime is the time for which a settled crowd stays before the checks.
	holdTime = time.Second
	// crowdHoldTime is the time for which crowds go on whose memory is sampled each memorySampleInterval.
	crowdHoldTime        = 6 * time.Second
	memorySampleInterval = 25 * time.Millisecond
)

// kind is what the clients of a crowd do with each connection.
type kind struct {
	name string
	send func(c net.Conn, s *target)
	// unread is set if the clients do not read the response.
	unread bool
	// reconnects is set if a client connects again as soon as its connection has ended.
	reconnects bool
	// repeats is set if send goes on until the connection ends. Such a client has settled once it has connected.
	repeats bool
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeEndless repeats a text.
func writeEndless(c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(endlessTimeout))
	block := strings.Repeat(text, 1+1024/len(text))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if !write(c, block) {
			return
		}
	}
}

// nameCharacters are valid in field names and differ when their case is ignored.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// fields returns n fields with as many different names of two characters as there are.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteByte(nameCharacters[i/len(nameCharacters)%len(nameCharacters)])
		b.WriteByte(nameCharacters[i%len(nameCharacters)])
		b.WriteString(":\n")
	}
	return b.String()
}

// largeHeadFields are the fields of a head of 15,600 bytes, which is within the limit of 16,384.
var largeHeadFields = fields(3900)

var (
	unterminatedHeads = kind{name: "unterminated heads", send: func(c net.Conn, _ *target) { write(c, "GET / HTTP/1.1\r\n"+largeHeadFields) }}
	// The product's own node accepts heads of 65,536 bytes.
	unterminatedLongHeads = kind{name: "unterminated long heads", send: func(c net.Conn, _ *target) { write(c, "GET / HTTP/1.1\r\n"+fields(16000)) }}
	endlessFields         = kind{name: "endless fields", send: func(c net.Conn, _ *target) {
		if write(c, "GET / HTTP/1.1\r\n") {
			writeEndless(c, largeHeadFields)
		}
	}}
	endlessLine  = kind{name: "endless line", send: func(c net.Conn, _ *target) { writeEndless(c, "GET /aaaaaaaa") }}
	endlessField = kind{name: "endless field", send: func(c net.Conn, _ *target) {
		if write(c, "GET / HTTP/1.1\r\nX-Long: ") {
			writeEndless(c, "a")
		}
	}}
	emptyLines       = kind{name: "empty lines", send: func(c net.Conn, _ *target) { writeEndless(c, "\r\n") }}
	lineFeeds        = kind{name: "line feeds", send: func(c net.Conn, _ *target) { writeEndless(c, "\n") }}
	chunkExtensions  = kind{name: "chunk extensions", send: func(c net.Conn, s *target) { sendChunked(c, s, "1;", "a=b;") }}
	trailers         = kind{name: "trailers", send: func(c net.Conn, s *target) { sendChunked(c, s, "0\r\n", "a: b\r\n") }}
	slowTrailers     = kind{name: "unterminated trailers", send: func(c net.Conn, s *target) { sendChunked(c, s, "0\r\na: b\r\n", "") }}
	stalledBodies    = kind{name: "stalled bodies", send: func(c net.Conn, s *target) { sendBody(c, s, bodyBytes, bodyBytes-1) }}
	smallStalled     = kind{name: "small stalled bodies", send: func(c net.Conn, s *target) { sendBody(c, s, smallBodyBytes, smallBodyBytes-1) }}
	unreadStreams    = kind{name: "unread streams", unread: true, send: sendStream}
	idleConnections  = kind{name: "idle connections", send: func(net.Conn, *target) {}}
	reconnectingHead = kind{name: "reconnecting", reconnects: true, send: unterminatedHeads.send}
	reconnectingRuns = kind{name: "reconnecting after a request", reconnects: true, send: func(c net.Conn, s *target) {
		write(c, s.head("GET", "none")+"Connection: close\r\n\r\n")
	}}
)

const (
	// bodyBytes is below the limit of the configurations of these tests.
	bodyBytes = 1<<20 - 1
	// smallBodyBytes is below the size from which bodies are bounded more strictly.
	smallBodyBytes = 32 << 10
)

func sendChunked(c net.Conn, s *target, begin, repeated string) {
	if write(c, s.head("POST", standin.Unsafe)+"Transfer-Encoding: chunked\r\n\r\n"+begin) && repeated != "" {
		writeEndless(c, repeated)
	}
}

// sendBody announces a body and sends a part of it.
func sendBody(c net.Conn, s *target, announced, sent int) {
	if write(c, s.head("POST", standin.Unsafe)+fmt.Sprintf("Content-Length: %d\r\n\r\n", announced)) {
		write(c, strings.Repeat("b", sent))
	}
}

// sendStream requests a stream whose response is not read.
func sendStream(c net.Conn, s *target) {
	// A small receive buffer keeps the response from being held by the system instead of the process.
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	write(c, s.head("POST", standin.Stream)+"Content-Length: 0\r\n\r\n")
}

// crowd connects clients of a kind, and returns when all have sent what they send. They stay connected until the end of the
// test or of the returned function.
func crowd(t *testing.T, s *target, address string, clients int, k kind) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running, settled sync.WaitGroup
	for range clients {
		settled.Add(1)
		running.Go(func() {
			once := sync.OnceFunc(settled.Done)
			defer once()
			for ctx.Err() == nil {
				attack(ctx, s, address, k, once)
				if !k.reconnects {
					return
				}
			}
		})
	}
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	done := make(chan struct{})
	go func() {
		settled.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTimeout):
		require.Fail(t, "the crowd has not connected")
	}
	return stop
}

// attack opens one connection and keeps it until the process closes it or ctx ends. sent is called when all is sent.
func attack(ctx context.Context, s *target, address string, k kind, sent func()) {
	dialer := net.Dialer{Timeout: endlessTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if k.repeats {
		sent()
	}
	k.send(c, s)
	sent()
	if k.unread {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// attackers are a crowd of one kind at one listener.
type attackers struct {
	kind
	address string
	clients int
}

// withstandsCrowds lets crowds attack the process, and checks that it lives and stays within its bounds, with what the system
// holds for it, and that it serves an ordinary request afterwards. ended is called before that request.
func (s *target) withstandsCrowds(t *testing.T, b bounds, ended func(), crowds ...attackers) {
	t.Helper()
	listeners := map[string]bool{s.clients: true}
	for address := range maps.Values(s.others) {
		listeners[address] = true
	}
	var peaks memoryPeaks
	sampled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(sampled)
		// The process ends only if it fails, which the checks report.
		for ctx.Err() == nil && peaks.sampleMemory(s.command.Process.Pid, listeners) == nil {
			time.Sleep(memorySampleInterval)
		}
	}()
	var ends []func()
	for _, c := range crowds {
		ends = append(ends, crowd(t, s, c.address, c.clients, c.kind))
	}
	time.Sleep(crowdHoldTime)
	for _, end := range ends {
		end()
	}
	ended()
	cancel()
	<-sampled
	t.Logf("peaks in MB: resident %.0f, not read %.0f, not sent %.0f, together %.0f", peaks.resident, peaks.unread, peaks.unsent, peaks.together)
	assert.LessOrEqual(t, peaks.together, b.memoryMB, "memory in MB: resident, received and not read, or written and not sent")
	s.withstands(t, b)
}

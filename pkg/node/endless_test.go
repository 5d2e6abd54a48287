package node

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against an engine whose response head never ends, and that fills the memory of the node.
func TestEndlessHeadOfAnEngineTakesLittleMemory(t *testing.T) {
	client := newEngineClients().clientFor(rawserver.Serve(t, rawserver.WriteEndlessHead))
	for name, call := range map[string]func() error{
		"state":    func() error { _, err := client.State(t.Context()); return err },
		"generate": func() error { _, err := client.Generate(t.Context(), &engine.Request{ID: "r"}); return err },
	} {
		t.Run(name, func(t *testing.T) {
			assert.Less(t, rawserver.AllocatedBytes(func() { assert.Error(t, call()) }), uint64(2<<20))
		})
	}
}

// endlessBody returns a server's behaviour: it reads a request, and writes a head and bytes that are no answer until the caller
// closes, or a bound that is far over what the caller may keep.
func endlessBody(status, contentType string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Type: "+contentType+"\r\n\r\n")
		more := bytes.Repeat([]byte("x"), 32<<10)
		for sent := 0; err == nil && sent < 256<<20; sent += len(more) {
			_, err = c.Write(more)
		}
	}
}

// Guards against an engine whose response body never ends, and that fills the memory of the node.
func TestEndlessBodyOfAnEngineTakesLittleMemory(t *testing.T) {
	for name, test := range map[string]struct{ status, contentType string }{
		"event":          {"200 OK", "text/event-stream"},
		"error response": {"500 Internal Server Error", "application/json"},
	} {
		t.Run(name, func(t *testing.T) {
			client := newEngineClients().clientFor(rawserver.Serve(t, endlessBody(test.status, test.contentType)))
			assert.Less(t, rawserver.AllocatedBytes(func() {
				stream, err := client.Generate(t.Context(), &engine.Request{ID: "r"})
				if err == nil {
					_, err = stream.Next()
					stream.Close()
				}
				assert.Error(t, err)
			}), uint64(4<<20))
		})
	}
}

// Guards against an engine that closes in the middle of its response's head, and counts as having answered: the head is cut after
// each of its bytes.
func TestEngineResponseThatEndsInsideItsHeadIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n"
	length := 0
	client := newEngineClients().clientFor(rawserver.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, head[:length])
		}
	}))
	for ; length < len(head); length++ {
		_, err := client.Generate(t.Context(), &engine.Request{ID: "r"})
		assert.Error(t, err, "cut after %q", head[:length])
	}
}

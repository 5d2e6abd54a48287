package engine

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a part of an engine's reply that counts as a complete one, and against a status that is none: the reply is cut
// after each of its bytes.
func TestIncompleteReplyIsAnError(t *testing.T) {
	text := ""
	client := NewClient("http://"+rawserver.Serve(t, func(c net.Conn) {
		var request [4 << 10]byte
		if _, err := c.Read(request[:]); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}), nil)
	const body = `{"incarnation":"i"}`
	calls := map[string]func() error{
		"order": func() error { return client.Order(t.Context(), Order{}) },
		"state": func() error { _, err := client.State(t.Context()); return err },
		"cache": func() error { _, err := client.Cache(t.Context()); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			for cut := range len(whole) {
				text = whole[:cut]
				require.True(t, fault.Is(call(), fault.EngineFailed), "cut after %q", text)
			}
			text = whole
			assert.NoError(t, call())
			for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "-00", "+20", "20"} {
				text = "HTTP/1.1 " + status + " X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
				assert.True(t, fault.Is(call(), fault.EngineFailed), status)
			}
		})
	}
}

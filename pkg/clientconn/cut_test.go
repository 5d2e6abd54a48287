package clientconn

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/tcpstate"
)

// Guards against a response without length that is cut and looks complete, because its connection is closed through its wrapper.
func TestCutResponseWithoutLengthIsReset(t *testing.T) {
	b, address := serveSockets(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		tcpstate.ResetUnframed(w, r)
	})
	c := dial(t, address)
	send(t, c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	_, err := io.ReadAll(c)
	assert.Error(t, err)
	assert.Eventually(t, func() bool { return b.Used() == 0 }, testTimeout, time.Millisecond)
}

package peers

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a part of another node's objects that is taken for all of them, so that the missing ones count as removed: the
// response is cut after each of its bytes.
func TestPartOfAPeersObjectsIsAnError(t *testing.T) {
	content := mirror.Content{Revision: 5, Complete: true, Entries: []mirror.Entry{{Name: "a", Revision: 4, Value: []byte("1")}, {Name: "b", Revision: 5}}}
	encoded, err := msgpack.Marshal(&content)
	require.NoError(t, err)
	packed, err := compress(encoded)
	require.NoError(t, err)
	for name, body := range map[string]string{"plain": string(encoded), "gzip": string(packed)} {
		coding := ""
		if name == "gzip" {
			coding = "Content-Encoding: gzip\r\n"
		}
		for framing, response := range map[string]string{
			"unframed": "HTTP/1.1 200 OK\r\n" + coding + "\r\n" + body,
			"length":   fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", coding, len(body), body),
			"chunked":  fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", coding, len(body), body),
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				cut := 0
				address := rawserver.Serve(t, func(c net.Conn) {
					var request [4 << 10]byte
					if _, err := c.Read(request[:]); err == nil {
						_, _ = io.WriteString(c, response[:cut])
					}
				})
				for ; cut < len(response); cut++ {
					_, err := NewFetcher().Fetch(t.Context(), address, "k", 0)
					require.Error(t, err, "cut after %q", response[:cut])
				}
				got, err := NewFetcher().Fetch(t.Context(), address, "k", 0)
				require.NoError(t, err)
				assert.Equal(t, content, got)
			})
		}
	}
}

package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a second copy of a refusal, on a connection that was kept, that is taken for the refusal of the next request,
// which the engine runs. The refusals have a body or none, and repeat the request's ID or not.
func TestSecondCopyOfARefusalIsNotARefusalOfTheNextRequest(t *testing.T) {
	for _, body := range []string{`{"error":{"message":"full"}}`, ""} {
		for _, repeatsID := range []bool{true, false} {
			t.Run(fmt.Sprintf("body of %d bytes, repeats the ID %t", len(body), repeatsID), func(t *testing.T) {
				var runs atomic.Int32
				address := rawserver.Serve(t, func(c net.Conn) {
					reader := bufio.NewReader(c)
					refusal := ""
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						if r.Header.Get(HeaderRequestID) != "r1" {
							// With a kept connection, the copy comes first and the engine runs the request.
							runs.Add(1)
							_, _ = io.WriteString(c, refusal)
							return
						}
						id := ""
						if repeatsID {
							id = HeaderRequestID + ": r1\r\n"
						}
						refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
						_, _ = io.WriteString(c, refusal)
					}
				})
				client := NewClient("http://"+address, &http.Client{Transport: &http.Transport{}})
				_, err := client.Generate(t.Context(), &Request{ID: "r1"})
				assert.True(t, fault.Is(err, fault.Overloaded), "%v", err)
				assert.Equal(t, fault.NotRun, fault.As(err).Work)
				_, err = client.Generate(t.Context(), &Request{ID: "r2"})
				require.Error(t, err)
				assert.Equal(t, fault.Unknown, fault.As(err).Work, "%v", err)
				assert.Positive(t, runs.Load())
			})
		}
	}
}

package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// serveRefusals refuses requests for /refuse. To others it writes the refusal of the last one on the connection once more,
// if there was one, and the answer "run".
func serveRefusals(t *testing.T, status int) (address string) {
	t.Helper()
	refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Work: not_run\r\nContent-Length: 4\r\n\r\nfull", status)
	return rawserver.Serve(t, func(c net.Conn) {
		earlier, reader := "", bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/refuse" {
				earlier = refusal
				_, _ = io.WriteString(c, refusal)
				continue
			}
			_, _ = io.WriteString(c, earlier+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrun")
		}
	})
}

// Guards against a second copy of a refusal, on a connection that was kept, that is passed on as the answer to the next
// idempotent request, which the backend server runs.
func TestSecondCopyOfARefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			t.Run(fmt.Sprint(status, method), func(t *testing.T) {
				address, client := serveRefusals(t, status), NewClient()
				send := func(target string) (int, string) {
					request := &Request{Method: method, Target: target, Header: http.Header{}}
					if method == http.MethodPut {
						request.Body = []byte("slot")
					}
					response, err := client.Send(t.Context(), address, request)
					require.NoError(t, err)
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					return response.StatusCode, string(body)
				}
				for range 3 {
					code, body := send("/refuse")
					assert.Equal(t, status, code)
					assert.Equal(t, "full", body)
					code, body = send("/book")
					assert.Equal(t, http.StatusOK, code)
					assert.Equal(t, "run", body)
				}
			})
		}
	}
}

package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against the text or the head of an error in the middle of a client's stream, and against a stream that ends as if it
// were complete, because the next engine answers with an error after the first one has broken off.
func TestErrorOfTheNextEngineIsNotPartOfTheStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
	whole := func(req *http.Request, status int, contentType, body string) string {
		return responseHead(req, status, contentType, fmt.Sprint("Content-Length: ", len(body))) + body
	}
	next := map[string]func(req *http.Request) string{
		"server error":                func(req *http.Request) string { return whole(req, 500, "Content-Type: text/plain", "broken\n\n") },
		"client error":                func(req *http.Request) string { return whole(req, 404, "Content-Type: text/plain", "no model\n\n") },
		"events with an error status": func(req *http.Request) string { return whole(req, 500, eventStreamType, "id: 4\ndata: x\n\n") },
		"refusal":                     refusal,
		"not signed": func(req *http.Request) string {
			return "HTTP/1.1 200 OK\r\nId: i1\r\n" + eventStreamType + "\r\nContent-Length: 0\r\n\r\n"
		},
		"page with status 200":        func(req *http.Request) string { return whole(req, 200, "Content-Type: text/html", "<p>broken</p>\n\n") },
		"no body of another type":     func(req *http.Request) string { return whole(req, 200, "Content-Type: text/plain", "") },
		"text as events":              func(req *http.Request) string { return whole(req, 200, eventStreamType, "broken\n\n") },
		"head as events":              func(req *http.Request) string { return whole(req, 200, eventStreamType, head+"broken") },
		"head after a complete event": func(req *http.Request) string { return whole(req, 200, eventStreamType, "id: 4\ndata: x\n\n"+head) },
		"head in a body without framing": func(req *http.Request) string {
			return responseHead(req, 200, eventStreamType, "Connection: close") + head
		},
	}
	for name, respond := range next {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64
			serve := func(c net.Conn, req *http.Request) {
				if sends.Add(1) == 1 {
					fmt.Fprint(c, responseHead(req, 200, eventStreamType, "Content-Length: 10000")+eventsText(1, 3, "\n")+"id: 4\nda")
					return
				}
				fmt.Fprint(c, respond(req))
			}
			s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) { c.Routes[0].Resumable = true }, startWriter(t, serve), startWriter(t, serve))
			r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
			assert.Error(t, r.err, "the stream must not look complete")
			assert.Contains(t, []string{eventsText(1, 3, "\n"), eventsText(1, 4, "\n")}, r.body)
			assert.GreaterOrEqual(t, sends.Load(), int64(2))
		})
	}
}

package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

const (
	eventStreamType = "Content-Type: text/event-stream"
	chunkedEncoding = "Transfer-Encoding: chunked"
)

// responseHead returns the status line and the headers of a signed response, with further header lines.
func responseHead(req *http.Request, status int, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSig: s\r\n%s\r\n", status, req.Header.Get("Id"), strings.Join(append(lines, ""), "\r\n"))
}

// chunkedResponse returns a complete response in a single chunk.
func chunkedResponse(req *http.Request, body string, lines ...string) string {
	return fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", responseHead(req, 200, append(lines, chunkedEncoding)...), len(body), body)
}

// eventsText returns the events from first to last, whose lines end with lineEnd.
func eventsText(first, last int, lineEnd string) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d%[2]sdata: x%[2]s%[2]s", i, lineEnd)
	}
	return b.String()
}

// lastTestEvent is the last event of the streams that openStream requests.
const lastTestEvent = 6

// openStream requests a stream. The first send is answered by first, a further one with the complete rest of the
// events. It returns the client's result and the number of sends.
func openStream(t *testing.T, resumable bool, first func(c net.Conn, req *http.Request)) (clientResult, int64) {
	t.Helper()
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		if sends.Add(1) == 1 {
			first(c, req)
			return
		}
		// Without a valid ID the stream starts with the first event.
		after, _ := strconv.Atoi(req.Header.Get("After"))
		fmt.Fprint(c, chunkedResponse(req, eventsText(after+1, lastTestEvent, "\n"), eventStreamType))
	}
	s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) { c.Routes[0].Resumable = resumable }, startWriter(t, respond), startWriter(t, respond))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	return r, sends.Load()
}

// Guards against a stream that ends inside an event and looks complete, because the framing of the engine's response is
// complete.
func TestFramedStreamThatEndsInsideEventIsTruncated(t *testing.T) {
	for name, rest := range map[string]string{"inside a line": "id: 4\nda", "without the blank line": "id: 4\ndata: x\n"} {
		for _, relayed := range []int{0, 3} {
			text := eventsText(1, relayed, "\n") + rest
			tests := map[string]func(c net.Conn, req *http.Request){
				"chunked": func(c net.Conn, req *http.Request) { fmt.Fprint(c, chunkedResponse(req, text, eventStreamType)) },
				"length": func(c net.Conn, req *http.Request) {
					fmt.Fprint(c, responseHead(req, 200, eventStreamType, fmt.Sprint("Content-Length: ", len(text)))+text)
				},
			}
			for framing, first := range tests {
				t.Run(fmt.Sprintf("%s, %s, %d events before", framing, name, relayed), func(t *testing.T) {
					r, sends := openStream(t, false, first)
					assert.True(t, r.err != nil || r.status == http.StatusBadGateway, "the client got %d %q as complete", r.status, r.body)
					assert.Equal(t, int64(1), sends)
					r, sends = openStream(t, true, first)
					assert.NoError(t, r.err)
					assert.Equal(t, eventsText(1, lastTestEvent, "\n"), r.body)
					assert.Equal(t, int64(2), sends)
				})
			}
		}
	}
}

// Guards against a complete response of another type on a route of streams that is cut because its body does not end
// like an event.
func TestFramedResponseOfOtherTypeIsRelayedByStreamRoute(t *testing.T) {
	const text = "{\n\n\"a\": 1}"
	r, sends := openStream(t, true, func(c net.Conn, req *http.Request) {
		fmt.Fprint(c, chunkedResponse(req, text, "Content-Type: application/json"))
	})
	assert.NoError(t, r.err)
	assert.Equal(t, text, r.body)
	assert.Equal(t, int64(1), sends)
}

// Guards against a stream whose lines end with CRLF that is delayed until its end or cut as truncated.
func TestEventsThatEndWithCRLFAreRelayedAsTheyArrive(t *testing.T) {
	text := eventsText(1, lastTestEvent, "\r\n")
	var s eventSplitter
	relayed := ""
	for i := range len(text) {
		if complete := s.push([]byte{text[i]}); len(complete) > 0 {
			relayed += string(complete)
			assert.Equal(t, text[:i+1], relayed)
			assert.Equal(t, strconv.Itoa(strings.Count(relayed, "id")), s.lastID)
		}
	}
	assert.Equal(t, text, relayed)
	for _, resumable := range []bool{false, true} {
		r, sends := openStream(t, resumable, func(c net.Conn, req *http.Request) {
			fmt.Fprint(c, responseHead(req, 200, eventStreamType)+text)
		})
		assert.NoError(t, r.err)
		assert.Equal(t, text, r.body)
		assert.Equal(t, int64(1), sends)
	}
}

// Guards against a complete stream that is cut because a further blank line arrives after its last event.
func TestBlankLineAfterLastEventIsNoTruncation(t *testing.T) {
	for _, blank := range []string{"\n", "\r\n"} {
		text := eventsText(1, lastTestEvent, "\n")
		for _, resumable := range []bool{false, true} {
			r, sends := openStream(t, resumable, func(c net.Conn, req *http.Request) {
				fmt.Fprint(c, responseHead(req, 200, eventStreamType)+text)
				time.Sleep(segmentPause)
				fmt.Fprint(c, blank)
			})
			assert.NoError(t, r.err)
			assert.Equal(t, text+blank, r.body)
			assert.Equal(t, int64(1), sends)
		}
	}
}

// segmentPause separates two writes of a server, so that a node reads them separately.
const segmentPause = 30 * time.Millisecond

// Guards against a retry that waits for the end of a refusal's body, which has no length and is not needed.
func TestUnframedRefusalIsRetriedAtOnce(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
		var sends atomic.Int64
		respond := func(c net.Conn, req *http.Request) {
			if sends.Add(1) > 1 {
				fmt.Fprint(c, chunkedResponse(req, eventsText(1, 1, "\n"), eventStreamType))
				return
			}
			fmt.Fprint(c, responseHead(req, 503, "Not-Run: 1")+"full")
			// Returns once the node has closed the connection.
			_, _ = io.Copy(io.Discard, c)
		}
		s := startGateway(t, kind, nil, startWriter(t, respond), startWriter(t, respond))
		r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
		require.NoError(t, r.err)
		assert.Equal(t, http.StatusOK, r.status)
		assert.Equal(t, int64(2), sends.Load())
	}
}

// Guards against a response to HEAD that states another length than the engine did: its body is empty, but its length is
// that of the body that GET returns. The engine keeps the connection open, as after any response without a body.
func TestLengthInResponseToHeadIsThatOfEngine(t *testing.T) {
	for name, test := range map[string]struct {
		line   string
		length int64
	}{
		"length":   {"Content-Length: 4", 4},
		"empty":    {"Content-Length: 0", 0},
		"chunked":  {chunkedEncoding, -1},
		"unframed": {"Etag: 1", -1},
	} {
		t.Run(name, func(t *testing.T) {
			s := startGateway(t, routes.Safe, nil, startWriter(t, func(c net.Conn, req *http.Request) {
				fmt.Fprint(c, responseHead(req, 200, test.line))
				_, _ = io.Copy(io.Discard, c)
			}))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, s.URL+"/p/x", nil)
			require.NoError(t, err)
			req.Host, req.Header = "h", http.Header{"Id": {"i1"}, "Wait": {"1500"}}
			response, err := testClient.Do(req)
			require.NoError(t, err)
			response.Body.Close()
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, test.length, response.ContentLength)
		})
	}
}

// Guards against a stream that looks complete because its engine closed the connection before the first event.
func TestUnframedStreamWithoutEventsIsTruncated(t *testing.T) {
	empty := func(c net.Conn, req *http.Request) { fmt.Fprint(c, responseHead(req, 200, eventStreamType)) }
	r, sends := openStream(t, false, empty)
	assert.Equal(t, http.StatusBadGateway, r.status)
	assert.Equal(t, int64(1), sends)
	r, sends = openStream(t, true, empty)
	assert.NoError(t, r.err)
	assert.Equal(t, eventsText(1, lastTestEvent, "\n"), r.body)
	assert.Equal(t, int64(2), sends)
}

// Guards against a stream that a client continues and that is cut because no event is left after the last one that the
// client received.
func TestContinuedStreamWithoutFurtherEventsIsComplete(t *testing.T) {
	respond := func(c net.Conn, req *http.Request) { fmt.Fprint(c, responseHead(req, 200, eventStreamType)) }
	s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) { c.Routes[0].Resumable = true }, startWriter(t, respond))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}, "After": {strconv.Itoa(lastTestEvent)}})
	assert.NoError(t, r.err)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Empty(t, r.body)
}

// Guards against a stream that the node continues and that looks complete because the connection of the next engine
// ended without an event: the node cannot tell a crash from the end of the stream.
func TestUnframedContinuationWithoutEventIsTruncated(t *testing.T) {
	for _, delivered := range []int{lastTestEvent - 1, lastTestEvent} {
		var sends atomic.Int64
		respond := func(c net.Conn, req *http.Request) {
			text := ""
			if sends.Add(1) == 1 {
				text = eventsText(1, delivered, "\n") + "id"
			}
			fmt.Fprint(c, responseHead(req, 200, eventStreamType)+text)
		}
		s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) { c.Routes[0].Resumable = true }, startWriter(t, respond), startWriter(t, respond))
		r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
		assert.Error(t, r.err)
		assert.Equal(t, eventsText(1, delivered, "\n"), r.body)
		assert.Equal(t, int64(2), sends.Load())
	}
}

// resetAfter writes text and resets the connection once the node has read it.
func resetAfter(c net.Conn, text string) {
	fmt.Fprint(c, text)
	time.Sleep(segmentPause)
	// Close sends RST instead of FIN.
	_ = c.(*net.TCPConn).SetLinger(0)
}

// Guards against an unframed response that is not relayed in full, that is requested again although it is complete, or
// that looks complete although its connection was reset.
func TestUnframedResponseIsCompleteUnlessReset(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	for name, text := range map[string]string{"empty": "", "short": "fine", "with blank lines": "a\n\nb", "over the buffer": long} {
		for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe} {
			for _, broken := range []bool{false, true} {
				for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
					t.Run(fmt.Sprintf("%s, kind %v, %s, reset %v", name, kind, proto, broken), func(t *testing.T) {
						t.Parallel()
						var sends atomic.Int64
						respond := func(c net.Conn, req *http.Request) {
							answer := strings.Replace(responseHead(req, 200), "HTTP/1.1", proto, 1) + text
							if sends.Add(1) == 1 && broken {
								// A body that exceeds the buffer is relayed before its end, so that only a part is sent here.
								resetAfter(c, answer[:min(len(answer), maxBufferedBytes/2)])
								return
							}
							fmt.Fprint(c, answer)
						}
						s := startGateway(t, kind, nil, startWriter(t, respond), startWriter(t, respond))
						r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
						switch {
						case broken && kind == routes.Unsafe:
							assert.Equal(t, http.StatusBadGateway, r.status)
							assert.Equal(t, int64(1), sends.Load())
						default:
							assert.NoError(t, r.err)
							assert.Equal(t, http.StatusOK, r.status)
							assert.Equal(t, "s", r.header.Get("Sig"))
							assert.Equal(t, text, r.body)
							assert.Equal(t, map[bool]int64{false: 1, true: 2}[broken], sends.Load())
						}
					})
				}
			}
		}
	}
}

// Guards against an unframed response over the buffer that looks complete although its connection was reset.
func TestLongUnframedResponseIsCutAfterReset(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe} {
		headReceived := make(chan struct{})
		s := startGateway(t, kind, nil, startWriter(t, func(c net.Conn, req *http.Request) {
			fmt.Fprint(c, responseHead(req, 200)+strings.Repeat("x", 2*maxBufferedBytes))
			<-headReceived
			resetAfter(c, "")
		}))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/p/x", strings.NewReader("body"))
		require.NoError(t, err)
		req.Host, req.Header = "h", http.Header{"Id": {"i1"}, "Wait": {"5000"}}
		response, err := testClient.Do(req)
		require.NoError(t, err)
		close(headReceived)
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		assert.Error(t, err)
	}
}

// Guards against an unframed stream that is cut although it is complete, and against one that looks complete although
// it was broken off.
func TestUnframedStreamIsCompleteBetweenEventsOnly(t *testing.T) {
	const relayed = 3
	for name, test := range map[string]struct {
		rest            string
		reset, complete bool
	}{
		"closed between events":      {"", false, true},
		"closed inside an event":     {"id: 4\nda", false, false},
		"closed before a blank line": {"id: 4\ndata: x\n", false, false},
		"reset between events":       {"", true, false},
		"reset inside an event":      {"id: 4\nda", true, false},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+proto, func(t *testing.T) {
				t.Parallel()
				first := func(c net.Conn, req *http.Request) {
					text := strings.Replace(responseHead(req, 200, eventStreamType), "HTTP/1.1", proto, 1) + eventsText(1, relayed, "\n") + test.rest
					if test.reset {
						resetAfter(c, text)
						return
					}
					fmt.Fprint(c, text)
				}
				r, sends := openStream(t, false, first)
				assert.Equal(t, test.complete, r.err == nil, "%v", r.err)
				assert.Equal(t, eventsText(1, relayed, "\n"), r.body)
				assert.Equal(t, int64(1), sends)
				r, sends = openStream(t, true, first)
				assert.NoError(t, r.err)
				if test.complete {
					assert.Equal(t, eventsText(1, relayed, "\n"), r.body)
					assert.Equal(t, int64(1), sends)
					return
				}
				assert.Equal(t, eventsText(1, lastTestEvent, "\n"), r.body)
				assert.Equal(t, int64(2), sends)
			})
		}
	}
}

// Guards against waiting for the end of the connection after a response that has no body by its status.
func TestResponseWithoutBodyIsNotAwaited(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Safe, routes.Stream} {
		for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
			s := startGateway(t, kind, nil, startWriter(t, func(c net.Conn, req *http.Request) {
				fmt.Fprint(c, responseHead(req, status))
				_, _ = io.Copy(io.Discard, c)
			}))
			r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
			assert.NoError(t, r.err)
			assert.Equal(t, status, r.status)
			assert.Empty(t, r.body+r.header.Get("Content-Length"))
		}
	}
}

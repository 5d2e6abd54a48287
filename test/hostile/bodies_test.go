package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// maxBodyBytes is the limit of a body in the configurations of the users' deployments.
	maxBodyBytes = 4 << 20
	// chunkBytes is the size of a large chunk, and pieceBytes that of a piece of a body that is sent each pieceInterval.
	chunkBytes    = 64 << 10
	pieceBytes    = 16 << 10
	pieceInterval = 10 * time.Millisecond
	// smallChunks is the number of chunks of one byte that a client sends, six bytes each.
	smallChunks = 256 << 10
)

// bodyKinds are the kinds of crowds that send bodies of limit bytes, the largest that are legal.
type bodyKinds struct {
	whole, pieces, stalled, largeChunks, oneChunk, smallChunks, wholeChunked kind
}

func newBodyKinds(limit int) bodyKinds {
	// All clients send the same bytes.
	bytes := strings.Repeat("b", limit)
	unfinished := bytes[:limit-1]
	var chunks, small strings.Builder
	for rest := bytes; rest != ""; rest = rest[min(chunkBytes, len(rest)):] {
		size := min(chunkBytes, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", size, rest[:size])
	}
	small.WriteString(strings.Repeat("1\r\nb\r\n", min(limit, smallChunks)))
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n\r\n", limit), "Transfer-Encoding: chunked\r\n\r\n"
	return bodyKinds{
		whole: kind{name: "whole bodies", reconnects: true, repeats: true, send: func(c net.Conn, s *target) {
			sendRepeatedly(c, s, length, bytes)
		}},
		wholeChunked: kind{name: "whole chunked bodies", reconnects: true, repeats: true, send: func(c net.Conn, s *target) {
			sendRepeatedly(c, s, chunked, chunks.String()+"0\r\n\r\n")
		}},
		pieces: kind{name: "bodies in pieces without their last", repeats: true, send: func(c net.Conn, s *target) {
			if !write(c, s.head("POST", standin.Unsafe)+length) {
				return
			}
			for rest := unfinished; len(rest) > pieceBytes; rest = rest[pieceBytes:] {
				if !write(c, rest[:pieceBytes]) {
					return
				}
				time.Sleep(pieceInterval)
			}
		}},
		stalled:     unfinishedKind("bodies without their last byte", length+unfinished),
		largeChunks: unfinishedKind("large chunks without an end", chunked+chunks.String()),
		oneChunk:    unfinishedKind("one chunk without its end", chunked+fmt.Sprintf("%x\r\n%s", limit, unfinished)),
		smallChunks: unfinishedKind("small chunks without an end", chunked+small.String()),
	}
}

// unfinishedKind is the kind of clients that send a request without its end.
func unfinishedKind(name, afterHead string) kind {
	return kind{name: name, repeats: true, send: func(c net.Conn, s *target) { write(c, s.head("POST", standin.Unsafe)+afterHead) }}
}

// sendRepeatedly sends one request after the other until the connection ends, and reads the responses.
func sendRepeatedly(c net.Conn, s *target, framing, body string) {
	r := bufio.NewReader(c)
	for write(c, s.head("POST", standin.Unsafe)+framing+body) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Close {
			return
		}
	}
}

// pipelinedStreams requests streams one after the other on a connection, and reads none of the responses.
var pipelinedStreams = kind{name: "streams that are not read", unread: true, repeats: true, send: func(c net.Conn, s *target) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	for write(c, s.stream) {
	}
}}

// heads is a crowd of heads within the limit that do not end, whose clients connect again.
var heads = kind{name: "heads without an end", reconnects: true, repeats: true, send: unterminatedHeads.send}

// endlessHeads is a crowd of heads over the limit, whose clients connect again.
var endlessHeads = kind{name: "heads over the limit", reconnects: true, repeats: true, send: endlessFields.send}

// emptyLinesAgain is a crowd of empty lines before a request, whose clients connect again.
var emptyLinesAgain = kind{name: "empty lines", reconnects: true, repeats: true, send: emptyLines.send}

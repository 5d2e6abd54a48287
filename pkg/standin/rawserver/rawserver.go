// Package rawserver serves connections with bytes that the servers of net/http would not write, for tests.
package rawserver

import (
	"bytes"
	"net"
	"runtime"
	"testing"
)

// writeBytes is the size of one write of an endless head, in bytes.
const writeBytes = 32 << 10

// Serve calls serve for each connection until the test ends, and closes the connection afterwards. It returns the address.
func Serve(t testing.TB, serve func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// WriteEndlessHead writes the head of an HTTP response that does not end, until the peer closes the connection.
func WriteEndlessHead(c net.Conn) {
	more := bytes.Repeat([]byte("x"), writeBytes)
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
	for err == nil {
		_, err = c.Write(more)
	}
}

// AllocatedBytes returns the bytes that the process allocates while call runs.
func AllocatedBytes(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Package endless is a faulty HTTP server for tests: the heads of its responses never end.
package endless

import (
	"bytes"
	"net"
	"runtime"
	"testing"
)

// headChunkBytes is the size of one write of a head, in bytes.
const headChunkBytes = 32 << 10

// Serve starts a server that ends with the test, and returns its address.
func Serve(t testing.TB) (address string) {
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
			go writeHead(c)
		}
	}()
	return l.Addr().String()
}

func writeHead(c net.Conn) {
	defer c.Close()
	line := bytes.Repeat([]byte("x"), headChunkBytes)
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
	for err == nil {
		_, err = c.Write(line)
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

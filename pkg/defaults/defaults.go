// Package defaults sets the default values of fields that are not set, and has bounds that several clients share.
package defaults

// MaxResponseHeadBytes bounds the head of an HTTP response. net/http allows 10 MB, which a few dozen faulty servers could
// multiply to more than a node's memory.
const MaxResponseHeadBytes = 64 << 10

// BackendReceiveBytes and BackendSendBytes are the sizes of the system's buffers of a connection to a backend server or an engine, in
// bytes. They would grow to several MB for a client that does not read a stream, or for a server that does not read a body. 32 KB
// carry 10 MB/s at a round trip of 3 ms. On a loopback address, a send buffer below the segment size of 64 KB would wait 40 ms for each
// acknowledgement.
const (
	BackendReceiveBytes = 32 << 10
	BackendSendBytes    = 64 << 10
)

// Set stores value in field if field has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

package forward

import (
	"errors"
	"io"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// A request's body is kept until its response ends, because the request may be sent again. Large bodies of many slow requests
// would take the memory that the process may use, and the process would end with the requests of all clients. A request that does not
// fit is refused before it is read: it has not run, and its client can use another node.

const (
	// smallBodyBytes is the size up to which a body may use all of the memory for bodies. Larger ones may use
	// largeBodyShare of it, so that they do not crowd out the others.
	smallBodyBytes = 32 << 10
	largeBodyShare = 0.75
	// initialBodyBytes is the memory that is reserved at first for a body whose length is not known.
	initialBodyBytes = 8 << 10
	// maxPartBytes is the size of the largest part in which such a body is kept.
	maxPartBytes = 256 << 10
)

// errBodyMemory is the cause of a request that is refused because its body does not fit into the memory for bodies.
var errBodyMemory = errors.New(causeBodyMemory)

// BodyMemory bounds the memory of the request bodies that a node holds. It is safe for concurrent use.
type BodyMemory struct {
	// max is the bound in bytes, or 0 for none.
	max int64
	// makeRoom is set by SetMakeRoom. released gets a value when memory is released.
	makeRoom func(n int64) bool
	released chan struct{}

	mu   sync.Mutex
	used int64
}

// NewBodyMemory returns a bound in bytes, or none for 0.
func NewBodyMemory(maxBytes int64) *BodyMemory {
	return &BodyMemory{max: maxBytes, released: make(chan struct{}, 1)}
}

// SetMakeRoom sets a function that ends requests whose bodies have stalled and that have n bytes together, and reports whether
// there were any. It must be called before requests arrive.
func (m *BodyMemory) SetMakeRoom(makeRoom func(n int64) bool) { m.makeRoom = makeRoom }

// Used returns the size of the bodies in bytes.
func (m *BodyMemory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve reserves n more bytes for a body that then has total bytes. It reports whether they are available, which they
// always are for the only body.
func (m *BodyMemory) reserve(n, total int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	available := m.max
	if total > smallBodyBytes {
		available = int64(largeBodyShare * float64(m.max))
	}
	isOnly := m.used == total-n
	if m.max > 0 && m.used+n > available && !isOnly {
		return false
	}
	m.used += n
	return true
}

func (m *BodyMemory) release(n int64) {
	m.mu.Lock()
	m.used -= n
	m.mu.Unlock()
	select {
	case m.released <- struct{}{}:
	default:
	}
}

// releaseTimeout bounds the time for which a request waits for the memory of stalled bodies, whose requests end at once.
const releaseTimeout = 100 * time.Millisecond

// reserveStalled ends requests whose bodies have stalled, and reserves their memory.
func (m *BodyMemory) reserveStalled(n, total int64) bool {
	if m.makeRoom == nil || !m.makeRoom(max(n, smallBodyBytes)) {
		return false
	}
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	for {
		if m.reserve(n, total) {
			return true
		}
		select {
		case <-m.released:
		case <-timeout.C:
			return m.reserve(n, total)
		}
	}
}

// bodyReservation is the memory of one request's body.
type bodyReservation struct {
	memory   *BodyMemory
	reserved int64
}

// reserve makes room for a body of total bytes.
func (b *bodyReservation) reserve(total int64) error {
	if total <= b.reserved {
		return nil
	}
	if n := total - b.reserved; !b.memory.reserve(n, total) && !b.memory.reserveStalled(n, total) {
		return errBodyMemory
	}
	b.reserved = total
	return nil
}

func (b *bodyReservation) release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// readAll reads a body whose length is not known, up to maxBytes + 1 bytes. It reads it into parts, each as long as those before
// together: a single buffer that grows would take three times its size while it is copied.
func (b *bodyReservation) readAll(r io.Reader, maxBytes int64) (exchange.Body, error) {
	var body exchange.Body
	for total := int64(0); total <= maxBytes; {
		size := min(max(total, initialBodyBytes), maxPartBytes, maxBytes+1-total)
		if err := b.reserve(total + size); err != nil {
			return nil, err
		}
		part, err := readPart(r, size)
		if total += int64(len(part)); len(part) > 0 {
			body = append(body, part)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// readPart reads up to size bytes, and fewer only with an error. Unlike io.ReadFull, it tells the end of the body from one that
// was cut.
func readPart(r io.Reader, size int64) ([]byte, error) {
	part := make([]byte, 0, size)
	for len(part) < cap(part) {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}

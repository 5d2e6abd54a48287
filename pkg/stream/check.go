// Package stream relays the response to one request from engines to a caller. It detects chunks of
// other requests, repeated and missing chunks and truncated streams, and continues an interrupted
// response without a gap or a repetition.
package stream

import (
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Verdict is the decision on a received chunk.
type Verdict int

// Verdicts of Checker.Check.
const (
	// Deliver means that the chunk is the next one and is passed on.
	Deliver Verdict = iota
	// Drop means that the chunk belongs to another request or has been delivered before, and is
	// ignored.
	Drop
	// Broken means that a chunk before this one is missing, so the stream cannot be used further.
	Broken
)

// Checker verifies the request id and the sequence numbers of the chunks of one response, which start
// at 0. The zero value accepts chunks of the request id "".
type Checker struct {
	RequestID string
	// next is the sequence number of the next chunk to deliver.
	next     int
	done     bool
	foreign  int
	repeated int
}

// Check returns the decision on a received chunk. It advances to the next sequence number if the
// decision is Deliver.
func (c *Checker) Check(chunk *engine.Chunk) Verdict {
	switch {
	case chunk.RequestID != c.RequestID:
		c.foreign++
		return Drop
	case c.done || chunk.Seq < c.next:
		c.repeated++
		return Drop
	case chunk.Seq > c.next:
		return Broken
	}
	c.next++
	c.done = chunk.Final
	return Deliver
}

// Next returns the sequence number of the next chunk to deliver.
func (c *Checker) Next() int { return c.next }

// Done reports whether the final chunk has been delivered.
func (c *Checker) Done() bool { return c.done }

// Foreign returns the number of chunks of other requests that were dropped.
func (c *Checker) Foreign() int { return c.foreign }

// Repeated returns the number of chunks that were dropped because they had been delivered before or
// followed the final chunk.
func (c *Checker) Repeated() int { return c.repeated }

// errGap returns the error of a stream in which chunk got follows where chunk expected is missing.
func errGap(expected, got int) error {
	return fault.New(fault.StreamBroken, "chunk %d arrived in place of chunk %d", got, expected).WithWork(fault.Run)
}

// errStalled returns the error of a stream without new chunks. next is the sequence number of the chunk that was expected.
func errStalled(next int) error {
	return fault.New(fault.StreamBroken, "chunk %d did not arrive in time", next).WithWork(fault.Run)
}

// errEarlyEnd returns the error of a stream that ended without its final chunk. next is the sequence
// number of the chunk that was expected.
func errEarlyEnd(next int) error {
	return fault.New(fault.StreamBroken, "stream ended before chunk %d", next).WithWork(fault.Run)
}

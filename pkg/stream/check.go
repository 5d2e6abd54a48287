// Package stream relays one answer from engines to a caller. It detects foreign, repeated and
// missing chunks and early ends, and continues a cut answer without a gap or a repeat.
package stream

import (
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Verdict tells what to do with a chunk.
type Verdict int

// Verdicts of Checker.Check.
const (
	// Deliver means that the chunk is the next one.
	Deliver Verdict = iota
	// Drop means that the chunk belongs to another request or was seen already.
	Drop
	// Broken means that a chunk is missing.
	Broken
)

// Checker verifies the chunks of one answer. The zero value expects chunk 0 of request "".
type Checker struct {
	RequestID string
	next      int
	done      bool
	foreign   int
	repeated  int
}

// Check returns what to do with the next received chunk and advances on Deliver.
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

// Next returns the sequence number of the next wanted chunk.
func (c *Checker) Next() int { return c.next }

// Done reports whether the final chunk was delivered.
func (c *Checker) Done() bool { return c.done }

// Foreign returns the number of chunks of other requests that were dropped.
func (c *Checker) Foreign() int { return c.foreign }

// Repeated returns the number of chunks that were dropped because they were seen before.
func (c *Checker) Repeated() int { return c.repeated }

// errGap is the error of a missing chunk.
func errGap(want, got int) error {
	return fault.New(fault.StreamBroken, "chunk %d arrived in place of chunk %d", got, want).WithWork(fault.Run)
}

// errEarlyEnd is the error of a stream that ended before its final chunk.
func errEarlyEnd(next int) error {
	return fault.New(fault.StreamBroken, "stream ended before chunk %d", next).WithWork(fault.Run)
}

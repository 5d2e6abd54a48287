package peers

import (
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// The clocks of two nodes cannot be compared, and a message may be old when it is read: it waits in a socket while
// its receiver is paused, or its sender was paused between reading its state and sending it. Each report therefore
// carries a timestamp of its sender, which the messages in return repeat. Their content was read after that report
// had been sent, by the clock of the node that receives them.

// echo is what a message in return states about the last report of its receiver. It is encoded as an array.
type echo struct {
	// SentAt is message.SentAt of that report.
	SentAt int64
	// HeldMS is the time in milliseconds from the receipt of the report until the content of this message was
	// read.
	HeldMS int64
	// Permits are the encoded quota.Permits that a heartbeat issues to its receiver.
	Permits []byte
}

// isZero reports whether there is nothing to state.
func (e echo) isZero() bool { return e.SentAt == 0 && e.HeldMS == 0 && len(e.Permits) == 0 }

// target is a receiver of a message in return.
type target struct {
	address string
	echo    echo
}

// timestamps issues the timestamps of a node's reports and dates the messages that repeat them.
type timestamps struct {
	// offset differs between the starts of a node, so that a message to an earlier one is not mistaken for one
	// to this.
	offset    int64
	startedAt time.Time
}

func newTimestamps() timestamps {
	// The lowest bits stay free, so that offset plus the microseconds since the start does not overflow.
	return timestamps{offset: 1 + rand.Int64N(1<<60), startedAt: clock.Now()}
}

// next returns the timestamp of a report that is sent now.
func (t timestamps) next() int64 { return t.offset + clock.Since(t.startedAt).Microseconds() }

// readAt returns the earliest time at which the sender of a message can have read its content, or the zero time if
// the message repeats no timestamp of this node. now is the time of clock.Now.
func (t timestamps) readAt(e echo, now time.Time) time.Time {
	elapsed := now.Sub(t.startedAt)
	sent := e.SentAt - t.offset
	if e.SentAt < t.offset || sent > elapsed.Microseconds() || e.HeldMS < 0 {
		return time.Time{}
	}
	age := elapsed - time.Duration(sent)*time.Microsecond - time.Duration(e.HeldMS)*time.Millisecond
	return now.Add(-max(age, 0))
}

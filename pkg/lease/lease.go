// Package lease decides who may send orders to a shard of engines. A lease is an object in the
// object API with a fencing number that grows with each holder. The package does no I/O: Lease
// turns the time and the results of calls into the next call.
//
// No clock is compared between VMs. A contender waits for the full duration of a lease after it
// has read a version, and takes over with a conditional update on that version. A holder counts
// its time from before it sent the last confirmed renewal, so its time ends first.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Timing of leases.
const (
	// TTL is the time for which a confirmed renewal allows to send.
	TTL = 30 * time.Second
	// RenewInterval leaves two more renewals before the lease ends.
	RenewInterval = 10 * time.Second
	// MaxDeliveryDelay is the longest time assumed from the check before a send to the arrival of the
	// order at the engine. It also covers the drift of the clocks during a lease.
	MaxDeliveryDelay = 5 * time.Second
	// RetryInterval is the pause after a failed call.
	RetryInterval = 2 * time.Second
)

// Timing sets the times of a lease. All nodes that contend for a lease must use the same, but for
// Reluctance.
type Timing struct {
	// TTL, RenewInterval, MaxDeliveryDelay and RetryInterval stand for the constants of the same names.
	TTL, RenewInterval, MaxDeliveryDelay, RetryInterval time.Duration
	// HandoverDelay is the time that a successor waits after a release.
	HandoverDelay time.Duration
	// AcquireDelay is added to each wait of this node, so that nodes that are better suited come first.
	AcquireDelay time.Duration
}

// DefaultTiming is used by New.
var DefaultTiming = Timing{TTL: TTL, RenewInterval: RenewInterval, MaxDeliveryDelay: MaxDeliveryDelay, RetryInterval: RetryInterval, HandoverDelay: MaxDeliveryDelay}

// Record is the stored form of a lease.
type Record struct {
	Holder string `json:"holder"`
	// Instance identifies one start of the holder's process. A restarted process does not know
	// what its predecessor sent, so it counts as another holder.
	Instance string `json:"instance"`
	// FencingToken grows with each holder and is never used twice.
	FencingToken uint64 `json:"fencing"`
	// Sequence counts the holder's writes, so that it recognises one whose answer was lost.
	Sequence uint64 `json:"renewal"`
	// Released says that the holder has ceased to send.
	Released bool `json:"released,omitempty"`
}

// DecodeRecord parses a stored lease.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, "lease does not parse")
	}
	if r.Instance == "" || r.FencingToken == 0 {
		return Record{}, fault.New(fault.Internal, "lease lacks its instance or fencing number")
	}
	return r, nil
}

// ObjectName returns the name of a shard's lease in the object API.
func ObjectName(shard string) string { return fmt.Sprintf("leases/%s", shard) }

// ActionKind is a call of the object API.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
)

// Action is the next call. Its result goes to ReadDone or WriteDone.
type Action struct {
	Kind      ActionKind
	Value     []byte
	IfVersion uint64
}

// Lease is one node's part in one lease. It is not safe for concurrent use.
type Lease struct {
	holder   string
	instance string
	timing   Timing

	// lastRecord is the last version read or written and seenAt the time at which the call ended.
	lastRecord  Record
	version     uint64
	observedAt  time.Time
	recordKnown bool

	// held tells whether seen is this instance's record, heldFrom when it was sent.
	held     bool
	heldFrom time.Time

	// sentAt are the times at which this instance's writes were sent, by Renewal. Each write has
	// a Renewal of its own: a repeated number would take an early write for a late one.
	sentAt   map[uint64]time.Time
	sequence uint64
	// minValidSequence is the lowest Renewal under which this instance may send. A write that releases
	// the lease can take effect late, so only a later write makes the lease usable again.
	minValidSequence uint64
	pendingWrite     Record
	callInProgress   bool
	// retryAt delays the next call after a failure.
	retryAt time.Time
}

// New returns a node's part in a lease. instance must differ between starts of the process.
func New(holder, instance string) *Lease { return NewWithTiming(holder, instance, DefaultTiming) }

// NewWithTiming is New with other times.
func NewWithTiming(holder, instance string, t Timing) *Lease {
	return &Lease{holder: holder, instance: instance, timing: t, sentAt: map[uint64]time.Time{}}
}

// Holder returns the last known holder, or "" if the lease is free or unknown.
func (l *Lease) Holder() string {
	if !l.recordKnown || l.lastRecord.Released {
		return ""
	}
	return l.lastRecord.Holder
}

// MaySend returns the fencing number if an order sent now arrives before the lease ends. It must
// be called immediately before each send, with a time that carries a monotonic reading.
func (l *Lease) MaySend(now time.Time) (fencing uint64, ok bool) {
	if !l.held || clock.Elapsed(l.heldFrom, now)+l.timing.MaxDeliveryDelay >= l.timing.TTL {
		return 0, false
	}
	return l.lastRecord.FencingToken, true
}

// HeldUntil returns the time until which the lease allows to send, or zero if it is not held.
func (l *Lease) HeldUntil() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.heldFrom.Add(l.timing.TTL - l.timing.MaxDeliveryDelay)
}

// Next returns the call to make now, if any. shouldHold tells whether this node should hold the
// lease; minFencingToken is the highest fencing number that an engine of the shard has reported.
func (l *Lease) Next(now time.Time, shouldHold bool, minFencingToken uint64) Action {
	if l.callInProgress || now.Before(l.retryAt) {
		return Action{}
	}
	switch {
	case l.held && !shouldHold:
		return l.release(now)
	case l.held && now.Sub(l.heldFrom) >= l.timing.RenewInterval:
		return l.write(now, l.nextRecord(l.lastRecord.FencingToken))
	case l.held || !shouldHold:
		return Action{}
	case !l.recordKnown:
		l.callInProgress = true
		return Action{Kind: Read}
	case now.Sub(l.observedAt) >= l.acquireWait():
		return l.write(now, l.nextRecord(max(l.lastRecord.FencingToken, minFencingToken)+1))
	}
	return Action{}
}

// acquireWait is the time after an observation for which a former holder may still send or an order of
// its may be on the way. Only the monotonic clock counts here: it never runs ahead.
func (l *Lease) acquireWait() time.Duration {
	switch {
	case l.version == 0:
		return l.timing.AcquireDelay
	case l.lastRecord.Released, l.lastRecord.Instance == l.instance:
		return l.timing.HandoverDelay + l.timing.AcquireDelay
	default:
		return l.timing.TTL + l.timing.MaxDeliveryDelay + l.timing.AcquireDelay
	}
}

// nextRecord returns this instance's nextRecord with a Renewal that it has not used.
func (l *Lease) nextRecord(fencing uint64) Record {
	l.sequence = max(l.sequence, l.lastRecord.Sequence) + 1
	return Record{Holder: l.holder, Instance: l.instance, FencingToken: fencing, Sequence: l.sequence}
}

func (l *Lease) release(now time.Time) Action {
	record := l.nextRecord(l.lastRecord.FencingToken)
	record.Released = true
	l.minValidSequence = record.Sequence + 1
	l.held = false
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, r Record) Action {
	value, err := json.Marshal(r)
	if err != nil {
		// Record holds only strings, numbers and a flag.
		panic(err)
	}
	l.callInProgress, l.pendingWrite = true, r
	l.sentAt[r.Sequence] = now
	return Action{Kind: Write, Value: value, IfVersion: l.version}
}

// ReadDone takes the result of a Read that ended at now. An error means that the stored lease is
// damaged; it is then never taken.
func (l *Lease) ReadDone(o objects.Object, err error, now time.Time) error {
	l.callInProgress = false
	switch {
	case fault.Is(err, fault.NotFound):
		l.observe(Record{}, 0, now)
		return nil
	case err != nil:
		l.retryAt = now.Add(l.timing.RetryInterval)
		return nil
	}
	r, err := DecodeRecord(o.Value)
	if err != nil {
		l.retryAt = now.Add(l.timing.RetryInterval)
		return err
	}
	l.observe(r, o.Version, now)
	return nil
}

// observe takes over a version. A record of this very instance is held since it was sent.
func (l *Lease) observe(r Record, version uint64, now time.Time) {
	l.lastRecord, l.version, l.observedAt, l.recordKnown = r, version, now, true
	sent, own := l.sentAt[r.Sequence]
	l.held = own && r.Instance == l.instance && !r.Released && r.Sequence >= l.minValidSequence
	if l.held {
		l.heldFrom = sent
	}
	l.discardSendTimes(r.Sequence)
}

// LastRecord returns the last known record and its version.
func (l *Lease) LastRecord() (Record, uint64) { return l.lastRecord, l.version }

// Released reports whether this instance has released the lease and no other has taken it since.
func (l *Lease) Released() bool {
	return l.recordKnown && l.lastRecord.Released && l.lastRecord.Instance == l.instance
}

// ObserveRemote takes over a record that another node has told of, as if it had been read at now. The holder
// itself is the usual teller; an older version than the known one is ignored.
func (l *Lease) ObserveRemote(r Record, version uint64, now time.Time) {
	if l.callInProgress || l.held || version <= l.version || r.Instance == l.instance {
		return
	}
	l.observe(r, version, now)
}

// discardSendTimes drops the send times of writes before a version that is known to be stored.
func (l *Lease) discardSendTimes(renewal uint64) {
	for r := range l.sentAt {
		if r < renewal {
			delete(l.sentAt, r)
		}
	}
}

// WriteDone takes the result of a Write that ended at now. After a conflict or a lost answer the
// stored lease is unknown and is read again; a held lease keeps its time meanwhile.
func (l *Lease) WriteDone(version uint64, err error, now time.Time) {
	l.callInProgress = false
	if err == nil {
		l.observe(l.pendingWrite, version, now)
		return
	}
	if fault.Is(err, fault.Conflict) {
		// The stored version is not the one that this node knows: another holder, or an
		// earlier write of this node whose answer was lost. Reading tells which.
		l.recordKnown, l.held = false, false
		return
	}
	l.retryAt = now.Add(l.timing.RetryInterval)
	if !l.held && fault.As(err).Work == fault.Unknown {
		l.recordKnown = false
	}
}

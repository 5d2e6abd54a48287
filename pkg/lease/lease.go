// Package lease decides which node may send orders to a shard of engines. A lease is an object in the
// object API that names the lease holder and its fencing token, which grows with each holder. The
// package does no I/O: Lease derives the next call of the object API from the time and the results of
// earlier calls.
//
// No clock is compared between VMs. A contender waits for the full duration of a lease after it
// has read a version, and takes over by a compare-and-swap on that version. The holder measures its
// lease from before it sent the last confirmed renewal, so that for the holder the lease ends first.
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
	// TTL is the duration of a lease after the last confirmed renewal.
	TTL = 30 * time.Second
	// RenewInterval is the time between renewals. It is a third of TTL, so that after a failed
	// renewal there is time for two more.
	RenewInterval = 10 * time.Second
	// MaxDeliveryDelay is the longest time assumed from the check before an order is sent to its
	// arrival at the engine. It includes a margin for clock drift during a lease.
	MaxDeliveryDelay = 5 * time.Second
	// RetryInterval is the pause after a failed call of the object API.
	RetryInterval = 2 * time.Second
)

// Timing sets the durations of a lease. All nodes that contend for a lease must use the same values,
// except for AcquireDelay.
type Timing struct {
	// TTL, RenewInterval, MaxDeliveryDelay and RetryInterval replace the constants of the same names.
	TTL, RenewInterval, MaxDeliveryDelay, RetryInterval time.Duration
	// HandoverDelay is the time that a successor waits after a release. Orders that the former
	// holder sent before it must have arrived by then.
	HandoverDelay time.Duration
	// AcquireDelay is added to each wait before this node acquires the lease, so that nodes with a
	// shorter one are preferred.
	AcquireDelay time.Duration
}

// DefaultTiming is the timing that New uses.
var DefaultTiming = Timing{TTL: TTL, RenewInterval: RenewInterval, MaxDeliveryDelay: MaxDeliveryDelay, RetryInterval: RetryInterval, HandoverDelay: MaxDeliveryDelay}

// Record is the stored form of a lease.
type Record struct {
	Holder string `json:"holder"`
	// Instance identifies one start of the holder's process. A restarted process has no record of
	// the orders sent before, so it counts as another holder.
	Instance string `json:"instance"`
	// FencingToken grows with each holder and is never given to two. An engine that checks tokens
	// rejects an order with a lower one than the highest it has received.
	FencingToken uint64 `json:"fencing"`
	// Sequence numbers the holder's writes, so that the holder recognises a stored write whose
	// response was lost.
	Sequence uint64 `json:"renewal"`
	// Released is set by a holder that sends no more orders.
	Released bool `json:"released,omitempty"`
}

// DecodeRecord parses a stored lease. It returns an error if the record is damaged.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, "cannot parse stored lease record")
	}
	if r.Instance == "" || r.FencingToken == 0 {
		return Record{}, fault.New(fault.Internal, "stored lease record is incomplete: instance %q, fencing token %d", r.Instance, r.FencingToken)
	}
	return r, nil
}

// ObjectName returns the name of a shard's lease in the object API.
func ObjectName(shard string) string { return fmt.Sprintf("leases/%s", shard) }

// ActionKind is the kind of a call of the object API.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
)

// Action is one call of the object API for the controller to make. The controller passes the result to
// ReadDone or WriteDone.
type Action struct {
	Kind ActionKind
	// Value is the value to write. The write succeeds only if the stored version is IfVersion, 0
	// for an object that does not exist.
	Value     []byte
	IfVersion uint64
}

// Lease is one node's view of one lease, as its holder or as a contender. It is not safe for concurrent
// use.
type Lease struct {
	holder   string
	instance string
	timing   Timing

	// lastRecord is the last record read, written or reported by another node, version its object
	// version, and observedAt the time of that read, write or report. recordCurrent is false before
	// the first read, and when the stored record may differ and must be read again.
	lastRecord    Record
	version       uint64
	observedAt    time.Time
	recordCurrent bool

	// held is set if lastRecord gives the lease to this instance; heldFrom is the time at which
	// that record was sent.
	held     bool
	heldFrom time.Time

	// sentAt are the times at which this instance sent its writes, by sequence number. Each write
	// has its own number: with a reused one, an early write would be mistaken for a later one and
	// the lease would seem to end later than it does.
	sentAt   map[uint64]time.Time
	sequence uint64
	// minValidSequence is the lowest sequence number with which a record gives the lease to this
	// instance. A write that releases the lease may take effect late, so after a release only a
	// later write makes the lease usable again.
	minValidSequence uint64
	pendingWrite     Record
	// releaseUnknown is set from the write of a release until it is known that it was stored, has failed, or that another
	// instance has the lease.
	releaseUnknown bool
	callInProgress bool
	// minVersion is the lowest version of a record that the store may still hold, and minToken the highest fencing token that
	// may have been given before. They rise when the store is restored.
	minVersion, minToken uint64
	// recordMayBeLost is set if the store was restored from a copy, so that a lease without a record may have a holder.
	recordMayBeLost bool
	// recheck is set if the record is to be read again although recordCurrent is set, and rechecking while that is done.
	recheck, rechecking bool
	// retryAt is the time before which no call is made, after a failed one.
	retryAt time.Time
}

// New returns the view of the node holder on a lease, with DefaultTiming. instance must differ between
// starts of the process.
func New(holder, instance string) *Lease { return NewWithTiming(holder, instance, DefaultTiming) }

// NewWithTiming is like New, with the given timing.
func NewWithTiming(holder, instance string, timing Timing) *Lease {
	return &Lease{holder: holder, instance: instance, timing: timing, sentAt: map[uint64]time.Time{}}
}

// Holder returns the holder in the last record, or "" if the lease is released or the stored record
// must be read first.
func (l *Lease) Holder() string {
	if !l.recordCurrent || l.lastRecord.Released {
		return ""
	}
	return l.lastRecord.Holder
}

// MaySend returns the fencing token, with ok true, if an order sent now arrives before the lease ends. It
// must be called immediately before each send, with a time that has a monotonic clock reading.
func (l *Lease) MaySend(now time.Time) (fencingToken uint64, ok bool) {
	if !l.held || clock.Elapsed(l.heldFrom, now)+l.timing.MaxDeliveryDelay >= l.timing.TTL {
		return 0, false
	}
	return l.lastRecord.FencingToken, true
}

// HeldUntil returns the time until which this node may send orders, or the zero time if it does not
// hold the lease.
func (l *Lease) HeldUntil() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.heldFrom.Add(l.timing.TTL - l.timing.MaxDeliveryDelay)
}

// Next returns the call to make now, if any. shouldHold states whether this node should hold the
// lease; minFencingToken is the highest fencing token that an engine of the shard has reported. A new
// holder's token is above it.
func (l *Lease) Next(now time.Time, shouldHold bool, minFencingToken uint64) Action {
	if l.callInProgress || now.Before(l.retryAt) {
		return Action{}
	}
	switch {
	case l.held && !shouldHold:
		return l.release(now)
	case l.held && now.Sub(l.heldFrom) >= l.timing.RenewInterval:
		return l.write(now, l.nextRecord(max(l.lastRecord.FencingToken, l.minToken+1)))
	case !shouldHold && l.releaseUnknown && l.recordCurrent:
		return l.release(now)
	case !shouldHold && l.releaseUnknown:
		l.callInProgress = true
		return Action{Kind: Read}
	case l.held || !shouldHold:
		return Action{}
	case !l.recordCurrent, l.recheck:
		l.callInProgress, l.rechecking, l.recheck = true, l.recordCurrent, false
		return Action{Kind: Read}
	case now.Sub(l.observedAt) >= l.acquireWait():
		l.releaseUnknown = false
		return l.write(now, l.nextRecord(max(l.lastRecord.FencingToken, minFencingToken, l.minToken)+1))
	}
	return Action{}
}

// acquireWait returns the time for which this node must wait after observedAt before it acquires the
// lease, because the former holder may still send orders, or orders that it sent may still be in
// flight. Only the monotonic clock is used: it cannot be set forward, which would shorten the wait.
func (l *Lease) acquireWait() time.Duration {
	switch {
	case l.version == 0 && !l.recordMayBeLost:
		return l.timing.AcquireDelay
	case l.version == 0:
		return l.timing.TTL + l.timing.MaxDeliveryDelay + l.timing.AcquireDelay
	case l.lastRecord.Released, l.lastRecord.Instance == l.instance:
		return l.timing.HandoverDelay + l.timing.AcquireDelay
	default:
		return l.timing.TTL + l.timing.MaxDeliveryDelay + l.timing.AcquireDelay
	}
}

// nextRecord returns a record of this instance with an unused sequence number.
func (l *Lease) nextRecord(fencingToken uint64) Record {
	l.sequence = max(l.sequence, l.lastRecord.Sequence) + 1
	return Record{Holder: l.holder, Instance: l.instance, FencingToken: fencingToken, Sequence: l.sequence}
}

func (l *Lease) release(now time.Time) Action {
	record := l.nextRecord(l.lastRecord.FencingToken)
	record.Released = true
	l.minValidSequence = record.Sequence + 1
	l.held, l.releaseUnknown = false, true
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, r Record) Action {
	value, err := json.Marshal(r)
	if err != nil {
		// Cannot happen: Record has only strings, numbers and a boolean.
		panic(err)
	}
	l.callInProgress, l.pendingWrite = true, r
	l.sentAt[r.Sequence] = now
	return Action{Kind: Write, Value: value, IfVersion: l.version}
}

// ReadDone handles the result of a Read that ended at now. It returns an error if the stored record is
// damaged. Until it is repaired, the record is read again and the lease is not acquired.
func (l *Lease) ReadDone(o objects.Object, err error, now time.Time) error {
	l.callInProgress = false
	// A read may also be stale.
	unchanged := l.rechecking && (err == nil && o.Version <= l.version || l.version == 0 && fault.Is(err, fault.NotFound))
	l.rechecking = false
	switch {
	case unchanged:
		// The wait for the lease's end goes on from the first observation of the record.
		return nil
	case fault.Is(err, fault.NotFound):
		l.minToken = max(l.minToken, l.lastRecord.FencingToken)
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

// observe sets the last record. A record that this instance wrote gives it the lease from the time
// at which the write was sent.
func (l *Lease) observe(r Record, version uint64, now time.Time) {
	l.lastRecord, l.version, l.observedAt, l.recordCurrent = r, version, now, true
	// An own record that is not released is a renewal before the release whose response was lost.
	l.releaseUnknown = l.releaseUnknown && r.Instance == l.instance && !r.Released
	sent, own := l.sentAt[r.Sequence]
	l.held = own && r.Instance == l.instance && !r.Released && r.Sequence >= l.minValidSequence
	if l.held {
		l.heldFrom = sent
	}
	l.discardSendTimes(r.Sequence)
}

// LastRecord returns the last record that was read, written or reported, and its object version.
func (l *Lease) LastRecord() (Record, uint64) { return l.lastRecord, l.version }

// NeedsRelease reports whether this instance holds the lease, or has released it and does not know whether that was stored.
// If it should not hold the lease, Next then releases it, or reads the record and repeats the release if it was not stored.
func (l *Lease) NeedsRelease() bool { return l.held || l.releaseUnknown }

// Released reports whether this instance has released the lease and has observed no later
// acquisition by another instance.
func (l *Lease) Released() bool {
	return l.recordCurrent && l.lastRecord.Released && l.lastRecord.Instance == l.instance
}

// ObserveRemote handles a record that another node, usually the lease holder, has reported, as if it had
// been read at now. It is ignored if it is not newer than the last record or is this instance's own, and
// while this instance holds the lease or a call is in progress.
func (l *Lease) ObserveRemote(r Record, version uint64, now time.Time) {
	if l.callInProgress || l.held || version <= l.version || version < l.minVersion || r.Instance == l.instance {
		return
	}
	l.observe(r, version, now)
}

// Recheck makes a contender read the record again, once. It is for a holder that has fallen silent: a renewal that it did not
// announce would be found only by the write that acquires the lease, and the wait would start again then.
func (l *Lease) Recheck() { l.recheck = !l.held && l.recordCurrent }

// Restored handles that the store was restored from a copy, so that the lease's object does not exist. minVersion is the
// lowest version that the restored store gives, and minToken a fencing token that is at least as high as all tokens before.
// The call in progress, if any, has ended without a valid result. A lease that this instance holds stays held for its time:
// no other node may acquire it earlier, and the next renewal creates the object.
func (l *Lease) Restored(minVersion, minToken uint64, now time.Time) {
	l.callInProgress = false
	l.SetRecordMayBeLost(minToken)
	l.minVersion = minVersion
	// Another node may have created the object already.
	l.version, l.observedAt, l.recordCurrent = 0, now, l.held
}

// CallInProgress reports whether the result of the last action is still awaited.
func (l *Lease) CallInProgress() bool { return l.callInProgress }

// SetRecordMayBeLost sets that the store may have lost a record that it had acknowledged. A lease without a record is then
// acquired only after the time for which its former holder may send orders, with a fencing token above minToken.
func (l *Lease) SetRecordMayBeLost(minToken uint64) {
	l.recordMayBeLost, l.minToken = true, max(l.minToken, minToken)
}

// discardSendTimes removes the send times of writes with a lower sequence number than the stored record.
func (l *Lease) discardSendTimes(stored uint64) {
	for sequence := range l.sentAt {
		if sequence < stored {
			delete(l.sentAt, sequence)
		}
	}
}

// WriteDone handles the result of a Write that ended at now. After a conflict, the lease is not held and
// its record is read again. After any other failure a held lease stays held until it ends, and the
// renewal is tried again; a contender whose write may have taken effect reads the record again.
func (l *Lease) WriteDone(version uint64, err error, now time.Time) {
	l.callInProgress = false
	if err == nil {
		l.observe(l.pendingWrite, version, now)
		return
	}
	if fault.Is(err, fault.Conflict) {
		// The stored version is not the last observed one: another node has acquired the lease, or an
		// earlier write of this node was stored and its response lost. The next read shows which.
		l.recordCurrent, l.held = false, false
		return
	}
	l.retryAt = now.Add(l.timing.RetryInterval)
	unknown := fault.As(err).Work == fault.Unknown
	l.releaseUnknown = l.releaseUnknown && unknown
	if !l.held && unknown {
		l.recordCurrent = false
	}
}

package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Limits of a writer.
const (
	// MaxBatch is the largest number of requests in one compare-and-swap.
	MaxBatch = 256
	// MaxQueue is the queue length from which a shard's writer refuses further claims. At one
	// commit a second, a full queue takes about 4 s to drain.
	MaxQueue = 4 * MaxBatch
	// RefuseDuration is the time for which a writer refuses requests at once after a failure of the
	// object API. Then one request probes the object API again.
	RefuseDuration = 500 * time.Millisecond

	// maxTries bounds the reads and writes for one batch. Each conflict means that another node's
	// write succeeded, so a few tries suffice when two nodes write alternately.
	maxTries = 10
)

// ActionKind is the kind of a call of the object API.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
	// Delete removes an object regardless of its version. A failure only leaves an unused object.
	Delete
)

// Action is one call of the object API for the controller to make. The controller passes the result
// to ReadDone, WriteDone or DeleteDone.
type Action struct {
	Kind ActionKind
	// Name is the name of the object.
	Name string
	// Value is the value to write. The write succeeds only if the stored version is IfVersion, 0
	// for an object that does not exist.
	Value     []byte
	IfVersion uint64
}

// Writer groups the requests for one shard's journal into batches, each of which is committed by one
// compare-and-swap. It is not safe for concurrent use.
type Writer struct {
	name string
	// cached is the last journal read or written, and version its version. cacheValid is
	// set if an update may be based on it.
	cached     *Journal
	version    uint64
	cacheValid bool

	queue []Op
	batch []Op
	// staged is the journal with the changes of batch, while it is being written.
	staged  *Journal
	replies []Reply
	// readForBatch is set if the journal was read after the current batch was started.
	readForBatch   bool
	callInProgress bool
	// tries counts the reads and writes for the current batch.
	tries int

	// failing is set from a failure of the object API until a batch completes. Until refuseUntil,
	// all requests are refused.
	failing     bool
	refuseUntil time.Time

	// loading is a journal whose segments are being read; readingObject is the object of the last
	// read.
	loading       *Journal
	readingObject string
	// pendingSegment is a segment that the stored journal does not name yet; segmentStored is
	// set once its object has been written, so that the next commit can refer to it.
	pendingSegment *pendingSegment
	segmentStored  bool
	// sealAfter is the time before which no segment is built, after one could not be built or written.
	sealAfter time.Time
	sealBytes int
	sealAge   time.Duration
	// obsoleteSegments are the objects of segments that the journal no longer names. They are to be
	// deleted.
	obsoleteSegments []string
	// removedSegments become obsolete when the staged journal has been written.
	removedSegments []string
}

// NewWriter returns a writer for a shard. It has not read the journal yet.
func NewWriter(shard int) *Writer {
	return &Writer{name: ObjectName(shard), cached: NewJournal(), sealBytes: sealThresholdBytes, sealAge: minSealAge}
}

// Submit queues a request. If the writer refuses requests after a failure of the object API, or if the
// queue is full, it returns the reply at once, with ok true. The full queue still accepts outcomes,
// because they complete claims.
func (w *Writer) Submit(op Op, now time.Time) (reply Reply, ok bool) {
	if w.Refusing(now) {
		return w.replyFromCache(op, now), true
	}
	if op.Claim != nil && len(w.queue) >= MaxQueue {
		return Reply{Ticket: op.Ticket, Verdict: Full}, true
	}
	w.queue = append(w.queue, op)
	return Reply{}, false
}

// Refusing reports whether requests are refused without a call of the object API: for RefuseDuration
// after a failure, and then while the first request probes the object API (a circuit breaker).
func (w *Writer) Refusing(now time.Time) bool {
	return w.failing && (now.Before(w.refuseUntil) || len(w.batch)+len(w.queue) > 0)
}

// Idle reports whether the writer has nothing to do until a request arrives.
func (w *Writer) Idle() bool {
	return !w.callInProgress && len(w.queue) == 0 && len(w.batch) == 0 && len(w.obsoleteSegments) == 0
}

// Peek returns the kind of the call that Next would return, without starting it. A controller that
// limits the rate of its writes waits between Peek and Next, so that requests which arrive meanwhile
// join the batch.
func (w *Writer) Peek(now time.Time) ActionKind {
	batch := append(w.batch[:len(w.batch):len(w.batch)], w.queue...)
	switch {
	case w.callInProgress || w.Idle():
		return None
	case len(batch) == 0:
		return Delete
	case !w.cacheValid:
		return Read
	}
	_, _, changed, needsRead := w.stage(batch[:min(len(batch), MaxBatch)], now)
	switch {
	case needsRead && !w.readForBatch:
		return Read
	case changed:
		return Write
	default:
		return None
	}
}

// Next returns the next call of the object API, and the replies that need no call. Kind is None if
// there is no call to make, or while one is in progress.
func (w *Writer) Next(now time.Time) (Action, []Reply) {
	switch {
	case w.callInProgress:
		return Action{}, nil
	case !w.fillBatch():
		return w.deleteObsoleteSegment(), nil
	case !w.cacheValid:
		return w.read(), nil
	}
	staged, replies, changed, needsRead := w.stage(w.batch, now)
	switch {
	case needsRead && !w.readForBatch:
		// Another node may have recorded outcomes of these claims since the journal was cached.
		return w.read(), nil
	case !changed:
		return Action{}, w.completeBatch(replies)
	case w.prepareSegment(staged, now):
		w.callInProgress = true
		return Action{Kind: Write, Name: w.pendingSegment.segment.Name, Value: w.pendingSegment.value}, nil
	}
	value, err := staged.Encode()
	if err != nil {
		return Action{}, w.failBatch(now)
	}
	w.callInProgress, w.staged, w.replies = true, staged, replies
	return Action{Kind: Write, Name: w.name, Value: value, IfVersion: w.version}, nil
}

// prepareSegment reports whether a segment has to be written before the staged journal. If so, it
// sets pendingSegment.
func (w *Writer) prepareSegment(staged *Journal, now time.Time) bool {
	if w.pendingSegment != nil || staged.claimBytes+staged.bodyBytes < w.sealBytes || now.Before(w.sealAfter) {
		return false
	}
	w.pendingSegment = w.cached.buildSegment(w.name, now, w.sealAge)
	if w.pendingSegment == nil {
		w.sealAfter = now.Add(sealRetryDelay)
	}
	return w.pendingSegment != nil
}

// deleteObsoleteSegment returns the call that deletes the next obsolete segment, if any.
func (w *Writer) deleteObsoleteSegment() Action {
	if len(w.obsoleteSegments) == 0 {
		return Action{}
	}
	w.callInProgress = true
	return Action{Kind: Delete, Name: w.obsoleteSegments[0]}
}

// DeleteDone handles the end of a Delete. A failed one is not repeated; its object stays unused.
func (w *Writer) DeleteDone() {
	w.callInProgress = false
	w.obsoleteSegments = w.obsoleteSegments[1:]
}

// fillBatch moves requests from the queue to the batch, up to MaxBatch, and reports whether the batch
// has any.
func (w *Writer) fillBatch() bool {
	n := min(len(w.queue), MaxBatch-len(w.batch))
	w.batch = append(w.batch, w.queue[:n]...)
	w.queue = w.queue[n:]
	return len(w.batch) > 0
}

// read returns the call that reads the journal or, once that has been read, its next missing segment.
func (w *Writer) read() Action {
	w.callInProgress, w.cacheValid, w.readingObject = true, false, w.name
	if w.loading != nil {
		w.readingObject = w.loading.firstMissingSegment()
	}
	return Action{Kind: Read, Name: w.readingObject}
}

// stage applies a batch to a copy of the cached journal. needsRead reports whether a reply could
// differ if another node has written the journal since.
func (w *Writer) stage(batch []Op, now time.Time) (staged *Journal, replies []Reply, changed, needsRead bool) {
	staged = w.cached.clone()
	for _, op := range batch {
		reply, change := staged.apply(op, now)
		replies = append(replies, reply)
		changed = changed || change
		needsRead = needsRead || reply.Verdict == InProgress || reply.Verdict == Unknown || reply.Verdict == Full
	}
	w.removedSegments = nil
	if changed {
		if w.segmentStored {
			staged.moveToSegment(w.pendingSegment)
		}
		w.removedSegments = staged.trim(now)
	}
	return staged, replies, changed, needsRead
}

// completeBatch ends the batch with its replies.
func (w *Writer) completeBatch(replies []Reply) []Reply {
	for i := range replies {
		replies[i].Version = w.version
	}
	w.batch, w.staged, w.replies = nil, nil, nil
	w.tries, w.readForBatch, w.failing = 0, false, false
	return replies
}

// failBatch ends the batch and empties the queue after a failure of the object API. It returns the
// replies, which come from the cached journal. A claim with the reply Unavailable may have been stored
// nevertheless: its attempt never sends, and records NotSent later.
func (w *Writer) failBatch(now time.Time) []Reply {
	w.cacheValid, w.loading = false, nil
	w.failing = true
	w.refuseUntil = now.Add(RefuseDuration)
	replies := make([]Reply, 0, len(w.batch)+len(w.queue))
	for _, op := range append(w.batch, w.queue...) {
		replies = append(replies, w.replyFromCache(op, now))
	}
	w.batch, w.queue, w.staged, w.replies = nil, nil, nil, nil
	w.tries, w.readForBatch = 0, false
	return replies
}

// replyFromCache returns a reply based on the last journal read or written, which may be out of date.
// That is safe for outcomes, which are final, and for a claim of the same attempt, because only that
// attempt records its outcome. Whatever needs a write is Unavailable.
func (w *Writer) replyFromCache(op Op, now time.Time) Reply {
	reply, needsWrite := Reply{Verdict: Unavailable}, true
	if op.Claim != nil {
		r, change := w.cached.evaluateClaim(op.Claim, now)
		reply, needsWrite = r, change != nil || r.Verdict == Full
	}
	if needsWrite {
		reply = Reply{Verdict: Unavailable}
	}
	reply.Ticket = op.Ticket
	reply.Version = w.version
	return reply
}

// ReadDone handles the result of a Read. decodeErr is set if the journal or a segment is damaged; no
// claim is granted then.
func (w *Writer) ReadDone(o objects.Object, err error, now time.Time) (replies []Reply, decodeErr error) {
	w.callInProgress = false
	w.tries++
	absent := fault.Is(err, fault.NotFound)
	switch {
	case absent && w.readingObject == w.name:
		w.loading, w.version = NewJournal(), 0
	case absent && w.tries < maxTries:
		// The journal that names this segment was a stale read: the segment has been deleted since.
		w.loading, w.cacheValid = nil, false
		return nil, nil
	case err != nil:
		return w.failBatch(now), nil
	case w.readingObject == w.name:
		w.loading, decodeErr = Decode(o.Value)
		w.version = o.Version
	default:
		w.loading.segmentClaims[w.readingObject], decodeErr = decodeSegment(w.readingObject, o.Value)
	}
	if decodeErr != nil {
		return w.failBatch(now), decodeErr
	}
	w.finishLoading()
	return nil, nil
}

// finishLoading adds the segments that are already in memory to the journal being loaded. If all its
// segments are then loaded, it becomes the cached journal.
func (w *Writer) finishLoading() {
	for _, s := range w.loading.segments {
		if claims, ok := w.cached.segmentClaims[s.Name]; ok {
			w.loading.segmentClaims[s.Name] = claims
		}
	}
	if w.loading.firstMissingSegment() == "" {
		w.cached, w.cacheValid, w.readForBatch, w.loading = w.loading, true, true, nil
	}
}

// WriteDone handles the result of a Write and returns the replies of a batch that has ended. After a
// conflict or a lost response, the next action is a read, which shows whether the batch was stored.
func (w *Writer) WriteDone(version uint64, err error, now time.Time) []Reply {
	w.callInProgress = false
	if w.staged == nil {
		w.segmentWritten(err, now)
		return nil
	}
	w.tries++
	if err == nil {
		w.cached, w.version, w.cacheValid = w.staged, version, true
		w.obsoleteSegments = append(w.obsoleteSegments, w.removedSegments...)
		if w.segmentStored {
			w.pendingSegment, w.segmentStored = nil, false
		}
		return w.completeBatch(w.replies)
	}
	w.cacheValid, w.staged, w.replies = false, nil, nil
	uncertain := fault.Is(err, fault.Conflict) || fault.As(err).Work == fault.Unknown
	if uncertain && w.tries < maxTries {
		return nil
	}
	return w.failBatch(now)
}

// segmentWritten handles the result of writing a segment. A conflict means that the segment is stored
// already. After any other failure the claims stay in the journal, and sealing is tried again after
// sealRetryDelay.
func (w *Writer) segmentWritten(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) {
		w.segmentStored = true
		return
	}
	w.pendingSegment, w.sealAfter = nil, now.Add(sealRetryDelay)
}

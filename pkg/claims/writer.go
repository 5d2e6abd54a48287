package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Limits of a writer.
const (
	// MaxBatch is the largest number of requests in one conditional update.
	MaxBatch = 256
	// MaxQueue is the number of requests that wait for a shard's writer before further claims
	// are refused. At one commit a second they wait about 4 s.
	MaxQueue = 4 * MaxBatch
	// RefuseDuration is the time for which a writer refuses at once after the object API has failed,
	// before one request probes it again.
	RefuseDuration = 500 * time.Millisecond

	// maxTries bounds the reads and writes for one batch. Each conflict means that another node
	// made progress, so a few tries suffice when two nodes take turns.
	maxTries = 10
)

// ActionKind is what a writer wants its controller to do.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
	// Delete removes an object, whatever its version. Its failure does no harm.
	Delete
)

// Action is one call of the object API. Its result goes to ReadDone, WriteDone or DeleteDone.
type Action struct {
	Kind ActionKind
	// Name is the object.
	Name      string
	Value     []byte
	IfVersion uint64
}

// Writer groups the claims of one shard into conditional updates. It is not safe for
// concurrent use.
type Writer struct {
	name string
	// cached is the last journal read or written; current tells whether it may serve as the base
	// of an update.
	cached     *Journal
	version    uint64
	cacheValid bool

	queue []Op
	batch []Op
	// staged is the journal with the changes of batch, while it is being written.
	staged  *Journal
	replies []Reply
	// readForBatch tells whether the journal was read for this batch.
	readForBatch   bool
	callInProgress bool
	tries          int

	failing     bool
	refuseUntil time.Time

	// loading is a journal whose segments are being read, reading the object of the last read.
	loading       *Journal
	readingObject string
	// pendingSegment is a segment on its way; sealed tells that it is stored and can be adopted.
	pendingSegment *pendingSegment
	segmentStored  bool
	sealAfter      time.Time
	sealBytes      int
	sealAge        time.Duration
	// obsoleteSegments are segments that no journal names any more.
	obsoleteSegments []string
	// removedSegments become garbage when the staged journal has been written.
	removedSegments []string
}

// NewWriter returns a writer of a shard that has not read its journal yet.
func NewWriter(shard int) *Writer {
	return &Writer{name: ObjectName(shard), cached: NewJournal(), sealBytes: sealThresholdBytes, sealAge: minSealAge}
}

// Submit adds a request. If the object API is known to fail or too many requests wait, it answers
// at once with ok true. Outcomes are always taken, because they end claims.
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

// Refusing reports whether requests are answered without a call: shortly after a failure, and
// while one request probes the object API.
func (w *Writer) Refusing(now time.Time) bool {
	return w.failing && (now.Before(w.refuseUntil) || len(w.batch)+len(w.queue) > 0)
}

// Idle reports whether the writer waits for requests.
func (w *Writer) Idle() bool {
	return !w.callInProgress && len(w.queue) == 0 && len(w.batch) == 0 && len(w.obsoleteSegments) == 0
}

// Peek returns the kind of call that Next would return, without starting it. A controller that
// paces its writes waits between the two, so that requests that arrive meanwhile join the write.
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

// Next returns the next call of the object API, if any, and the replies that need none. It
// returns no action while a call is in progress.
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
		// Another node may have settled these claims since the journal was cached.
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

// prepareSegment reports whether a segment has to be written before the staged journal.
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

// deleteObsoleteSegment returns the deletion of a segment that is no longer named.
func (w *Writer) deleteObsoleteSegment() Action {
	if len(w.obsoleteSegments) == 0 {
		return Action{}
	}
	w.callInProgress = true
	return Action{Kind: Delete, Name: w.obsoleteSegments[0]}
}

// DeleteDone takes the end of a Delete. A segment that could not be deleted stays unused.
func (w *Writer) DeleteDone() {
	w.callInProgress = false
	w.obsoleteSegments = w.obsoleteSegments[1:]
}

// fillBatch moves requests from the queue to the batch and reports whether there are any.
func (w *Writer) fillBatch() bool {
	n := min(len(w.queue), MaxBatch-len(w.batch))
	w.batch = append(w.batch, w.queue[:n]...)
	w.queue = w.queue[n:]
	return len(w.batch) > 0
}

// read returns the read of the journal, or of the next segment of a journal that has been read.
func (w *Writer) read() Action {
	w.callInProgress, w.cacheValid, w.readingObject = true, false, w.name
	if w.loading != nil {
		w.readingObject = w.loading.firstMissingSegment()
	}
	return Action{Kind: Read, Name: w.readingObject}
}

// stage applies a batch to a copy of the journal. needsRead tells whether a reply depends on
// the journal being current.
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

func (w *Writer) completeBatch(replies []Reply) []Reply {
	for i := range replies {
		replies[i].Version = w.version
	}
	w.batch, w.staged, w.replies = nil, nil, nil
	w.tries, w.readForBatch, w.failing = 0, false, false
	return replies
}

// failBatch answers the batch without the object API. A claim that is answered Unavailable may still
// be in the journal: its attempt never sends and records NotSent later.
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

// replyFromCache answers from the last journal seen. Outcomes are final and a claim of this
// very attempt can only be settled by the attempt itself, so an old journal is good evidence
// for both; everything that would need a write is Unavailable.
func (w *Writer) replyFromCache(op Op, now time.Time) Reply {
	reply, next := Reply{Verdict: Unavailable}, true
	if op.Claim != nil {
		r, change := w.cached.evaluateClaim(op.Claim, now)
		reply, next = r, change != nil || r.Verdict == Full
	}
	if next {
		reply = Reply{Verdict: Unavailable}
	}
	reply.Ticket = op.Ticket
	reply.Version = w.version
	return reply
}

// ReadDone takes the result of a Read. decodeErr is set if the journal or a segment is damaged;
// nothing is granted from it.
func (w *Writer) ReadDone(o objects.Object, err error, now time.Time) (replies []Reply, decodeErr error) {
	w.callInProgress = false
	w.tries++
	absent := fault.Is(err, fault.NotFound)
	switch {
	case absent && w.readingObject == w.name:
		w.loading, w.version = NewJournal(), 0
	case absent && w.tries < maxTries:
		// The journal that names the segment was an old one.
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

// finishLoading takes over the segments that are in memory already, and the journal when it has all.
func (w *Writer) finishLoading() {
	for _, s := range w.loading.segments {
		if p, ok := w.cached.segmentClaims[s.Name]; ok {
			w.loading.segmentClaims[s.Name] = p
		}
	}
	if w.loading.firstMissingSegment() == "" {
		w.cached, w.cacheValid, w.readForBatch, w.loading = w.loading, true, true, nil
	}
}

// WriteDone takes the result of a Write. After a conflict or a lost answer the next action is a
// read, which shows whether the batch took effect.
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

// segmentWritten takes the result of writing a segment. A conflict means that it is stored already.
// After any other failure the claims stay in the journal for now.
func (w *Writer) segmentWritten(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) {
		w.segmentStored = true
		return
	}
	w.pendingSegment, w.sealAfter = nil, now.Add(sealRetryDelay)
}

package claims

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/claims/claimspb"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

const journalFormat = 1

// tombstoneRetention is the time for which a claim that was never sent is kept. It only has to
// outlast a delayed copy of the claim's own message.
const tombstoneRetention = MinRetention

// Journal is the decoded value of one shard. Its claims are never changed in place.
type Journal struct {
	claims map[Key]storedClaim
	// segments are the objects with sealed claims, parts their contents by name.
	segments      []*claimspb.Segment
	segmentClaims map[string]claimSet
	// claimBytes is the stored size without bodies, bodyBytes the size of the bodies.
	claimBytes int
	bodyBytes  int
}

// storedClaim is a claim with its encoding, so that a commit encodes only what it changes.
type storedClaim struct {
	*claimspb.Claim
	field []byte
}

// claimsField is the number of the field claims of message Journal.
const claimsField = 2

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{claims: map[Key]storedClaim{}, segmentClaims: map[string]claimSet{}}
}

// Len returns the number of claims outside segments.
func (j *Journal) Len() int { return len(j.claims) }

// lookup returns the claim of a key. A claim outside segments is newer than a sealed one.
func (j *Journal) lookup(key Key) (storedClaim, bool) {
	if c, ok := j.claims[key]; ok {
		return c, true
	}
	for _, segment := range slices.Backward(j.segments) {
		if c, ok := j.segmentClaims[segment.Name][key]; ok {
			return c, true
		}
	}
	return storedClaim{}, false
}

// Decode parses the value of a journal object. An error means that nothing may be granted from
// this journal.
func Decode(value []byte) (*Journal, error) {
	if len(value) > objects.MaxValueBytes {
		return nil, fault.New(fault.Internal, "claim journal of %d bytes is too large", len(value))
	}
	var stored claimspb.Journal
	if err := proto.Unmarshal(value, &stored); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "claim journal does not parse")
	}
	if stored.Format != journalFormat {
		return nil, fault.New(fault.Internal, "claim journal has format %d, want %d", stored.Format, journalFormat)
	}
	j := NewJournal()
	j.segments = stored.Segments
	for _, c := range stored.Claims {
		if err := checkStored(c); err != nil {
			return nil, err
		}
		if _, twice := j.claims[Key(c.Key)]; twice {
			return nil, fault.New(fault.Internal, "claim journal holds key %x twice", c.Key)
		}
		if err := j.put(c); err != nil {
			return nil, err
		}
	}
	return j, nil
}

func checkStored(c *claimspb.Claim) error {
	switch {
	case len(c.Key) != sha256.Size:
		return fault.New(fault.Internal, "claim journal holds a key of %d bytes", len(c.Key))
	case !ValidAttempt(c.Attempt):
		return fault.New(fault.Internal, "claim journal holds an invalid attempt id")
	case c.State < claimspb.Claim_PENDING || c.State > claimspb.Claim_UNKNOWN:
		return fault.New(fault.Internal, "claim journal holds the unknown state %d", c.State)
	case len(c.BodyHash) != sha256.Size && c.State != claimspb.Claim_NOT_SENT:
		return fault.New(fault.Internal, "claim journal holds a body hash of %d bytes", len(c.BodyHash))
	}
	return nil
}

// Encode returns the value to store. The order of the claims has no meaning.
func (j *Journal) Encode() ([]byte, error) {
	value, err := proto.Marshal(&claimspb.Journal{Format: journalFormat, Segments: j.segments})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "claim journal does not encode")
	}
	value = slices.Grow(value, j.claimBytes+j.bodyBytes)
	for _, c := range j.claims {
		value = append(value, c.field...)
	}
	return value, nil
}

func (j *Journal) put(c *claimspb.Claim) error {
	message, err := proto.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "claim does not encode")
	}
	field := protowire.AppendTag(nil, claimsField, protowire.BytesType)
	field = protowire.AppendBytes(field, message)
	key := Key(c.Key)
	j.remove(key)
	j.claims[key] = storedClaim{Claim: c, field: field}
	j.claimBytes += len(field) - len(c.Body)
	j.bodyBytes += len(c.Body)
	return nil
}

func (j *Journal) remove(key Key) {
	if old, ok := j.claims[key]; ok {
		j.claimBytes -= len(old.field) - len(old.Body)
		j.bodyBytes -= len(old.Body)
		delete(j.claims, key)
	}
}

func (j *Journal) clone() *Journal {
	return &Journal{
		claims: maps.Clone(j.claims), segments: slices.Clone(j.segments), segmentClaims: maps.Clone(j.segmentClaims),
		claimBytes: j.claimBytes, bodyBytes: j.bodyBytes,
	}
}

// trim removes the claims and segments whose time to be kept is over by more than the clock skew.
// It returns the names of the segments.
func (j *Journal) trim(now time.Time) (dropped []string) {
	for key, c := range j.claims {
		if expired(c.Claim, now) {
			j.remove(key)
		}
	}
	j.segments = slices.DeleteFunc(j.segments, func(s *claimspb.Segment) bool {
		over := now.UnixMilli() > s.KeepUntilMs+ClockSkew.Milliseconds()
		if over {
			dropped = append(dropped, s.Name)
			delete(j.segmentClaims, s.Name)
		}
		return over
	})
	return dropped
}

func expired(c *claimspb.Claim, now time.Time) bool {
	return now.UnixMilli() > c.KeepUntilMs+ClockSkew.Milliseconds()
}

// apply evaluates op against the journal and stores what it changes. changed tells whether the
// reply holds only after the journal has been written.
func (j *Journal) apply(op Op, now time.Time) (reply Reply, changed bool) {
	var next *claimspb.Claim
	if op.Claim != nil {
		reply, next = j.evaluateClaim(op.Claim, now)
	} else {
		reply, next = j.evaluateRecord(op.Record, now)
	}
	if next != nil && j.put(next) != nil {
		// A claim that cannot be stored is not granted.
		reply, next = Reply{Verdict: Unavailable}, nil
	}
	reply.Ticket = op.Ticket
	return reply, next != nil
}

// evaluateClaim returns the verdict on a evaluateClaim and the stored evaluateClaim to add, if any.
func (j *Journal) evaluateClaim(op *ClaimOp, now time.Time) (Reply, *claimspb.Claim) {
	existing, ok := j.lookup(op.Key)
	if ok && expired(existing.Claim, now) {
		ok = false
	}
	switch {
	case !ok:
		return j.grant(op, now)
	case existing.Attempt == op.Attempt:
		return sameAttemptReply(existing.Claim), nil
	case existing.State == claimspb.Claim_NOT_SENT:
		return j.grant(op, now)
	default:
		return otherAttemptReply(existing.Claim, op, now), nil
	}
}

func (j *Journal) grant(op *ClaimOp, now time.Time) (Reply, *claimspb.Claim) {
	if j.claimBytes > MaxJournalClaimBytes {
		return Reply{Verdict: Full}, nil
	}
	return Reply{Verdict: Granted}, &claimspb.Claim{
		Key:         op.Key[:],
		Attempt:     op.Attempt,
		BodyHash:    op.BodyHash[:],
		State:       claimspb.Claim_PENDING,
		ClaimedMs:   now.UnixMilli(),
		KeepUntilMs: now.Add(max(op.Retention, MinRetention)).UnixMilli(),
		DeadlineMs:  now.Add(op.Deadline).UnixMilli(),
	}
}

// sameAttemptReply answers an attempt that asks about its own claim again. A grant is repeated only
// while the attempt has recorded no outcome.
func sameAttemptReply(existing *claimspb.Claim) Reply {
	if existing.State == claimspb.Claim_PENDING {
		return Reply{Verdict: Granted}
	}
	return Reply{Verdict: Recorded, Outcome: decodeOutcome(existing)}
}

// otherAttemptReply answers an attempt whose key another attempt holds.
func otherAttemptReply(existing *claimspb.Claim, op *ClaimOp, now time.Time) Reply {
	switch {
	case !bytes.Equal(existing.BodyHash, op.BodyHash[:]):
		return Reply{Verdict: BodyConflict}
	case existing.State == claimspb.Claim_COMPLETED:
		return Reply{Verdict: Recorded, Outcome: decodeOutcome(existing)}
	case existing.State == claimspb.Claim_PENDING && now.UnixMilli() < existing.DeadlineMs:
		return Reply{Verdict: InProgress}
	default:
		return Reply{Verdict: Unknown}
	}
}

// evaluateRecord returns the reply to a evaluateRecord and the stored claim to set, if any.
func (j *Journal) evaluateRecord(op *RecordOp, now time.Time) (Reply, *claimspb.Claim) {
	existing, ok := j.lookup(op.Key)
	switch {
	case !ok && op.Outcome.State == NotSent:
		return Reply{Verdict: Granted}, tombstone(op, now)
	case !ok || existing.Attempt != op.Attempt:
		return Reply{Verdict: Unknown}, nil
	case storedState(op.Outcome.State) == existing.State:
		return Reply{Verdict: Granted}, nil
	case existing.State == claimspb.Claim_PENDING,
		existing.State == claimspb.Claim_UNKNOWN && op.Outcome.State == Completed:
		return Reply{Verdict: Granted}, j.withOutcome(existing.Claim, op.Outcome, now)
	default:
		return Reply{Verdict: Recorded, Outcome: decodeOutcome(existing.Claim)}, nil
	}
}

// tombstone keeps a delayed copy of an abandoned claim from being granted to nobody, which would
// leave the key without an outcome.
func tombstone(op *RecordOp, now time.Time) *claimspb.Claim {
	return &claimspb.Claim{
		Key:         op.Key[:],
		Attempt:     op.Attempt,
		State:       claimspb.Claim_NOT_SENT,
		ClaimedMs:   now.UnixMilli(),
		KeepUntilMs: now.Add(tombstoneRetention).UnixMilli(),
	}
}

func (j *Journal) withOutcome(existing *claimspb.Claim, o Outcome, now time.Time) *claimspb.Claim {
	next := proto.CloneOf(existing)
	next.State = storedState(o.State)
	if o.State == NotSent {
		next.KeepUntilMs = now.Add(tombstoneRetention).UnixMilli()
		return next
	}
	limit := MaxOutcomeBodyBytes
	if j.bodyBytes+len(o.Body) > MaxJournalBodyBytes {
		limit = 0
	}
	o = o.bounded(limit)
	if o.Body == nil {
		o.ContentType = ""
	}
	next.Status = uint32(o.Status)
	next.ContentType = o.ContentType
	next.Body = o.Body
	next.BodyDigest = o.BodyDigest
	next.BodyBytes = uint64(o.BodyBytes)
	return next
}

func storedState(s State) claimspb.Claim_State {
	switch s {
	case NotSent:
		return claimspb.Claim_NOT_SENT
	case Completed:
		return claimspb.Claim_COMPLETED
	default:
		return claimspb.Claim_UNKNOWN
	}
}

func decodeOutcome(c *claimspb.Claim) Outcome {
	o := Outcome{
		Status:      int(c.Status),
		ContentType: c.ContentType,
		Body:        c.Body,
		BodyDigest:  c.BodyDigest,
		BodyBytes:   int(c.BodyBytes),
	}
	switch c.State {
	case claimspb.Claim_NOT_SENT:
		o.State = NotSent
	case claimspb.Claim_COMPLETED:
		o.State = Completed
	default:
		o.State = UnknownResult
	}
	return o
}

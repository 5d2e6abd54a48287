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

// tombstoneRetention is the time for which the claim of a request that was not sent is kept. It
// only has to be longer than a duplicate of the claim message can be delayed.
const tombstoneRetention = MinRetention

// Journal is the decoded content of one shard's journal. Its claims are never modified in place, so
// that copies of a journal can share them.
type Journal struct {
	claims map[Key]storedClaim
	// segments are the segments that the journal names; segmentClaims are their claims by object
	// name, as far as they have been read.
	segments      []*claimspb.Segment
	segmentClaims map[string]claimSet
	// claimBytes is the encoded size of the claims without outcome bodies, bodyBytes the total size of
	// these bodies.
	claimBytes int
	bodyBytes  int
}

// storedClaim is a claim with its encoded form as a field of message Journal, so that a commit
// encodes only the claims that it changes.
type storedClaim struct {
	*claimspb.Claim
	encoded []byte
}

// claimsField is the field number of claims in message Journal.
const claimsField = 2

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{claims: map[Key]storedClaim{}, segmentClaims: map[string]claimSet{}}
}

// Len returns the number of claims in the journal itself, without those in segments.
func (j *Journal) Len() int { return len(j.claims) }

// lookup returns the claim of a key. A claim in the journal itself is newer than one in a segment,
// and later segments are newer than earlier ones.
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

// Decode parses the value of a journal object. The claims of its segments are not loaded. It
// returns an error if the value is damaged; no claim may be granted then.
func Decode(value []byte) (*Journal, error) {
	if len(value) > objects.MaxValueBytes {
		return nil, fault.New(fault.Internal, "claim journal of %d bytes exceeds the limit of %d bytes", len(value), objects.MaxValueBytes)
	}
	var stored claimspb.Journal
	if err := proto.Unmarshal(value, &stored); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot parse claim journal")
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
			return nil, fault.New(fault.Internal, "claim journal contains key %x twice", c.Key)
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
		return fault.New(fault.Internal, "claim journal contains a key of %d bytes, want %d", len(c.Key), sha256.Size)
	case !ValidAttempt(c.Attempt):
		return fault.New(fault.Internal, "claim journal contains an invalid attempt id of %d bytes, want 1 to %d bytes of UTF-8", len(c.Attempt), maxAttemptBytes)
	case c.State < claimspb.Claim_PENDING || c.State > claimspb.Claim_UNKNOWN:
		return fault.New(fault.Internal, "claim journal contains a claim with the unknown state %d", c.State)
	case len(c.BodyHash) != sha256.Size && c.State != claimspb.Claim_NOT_SENT:
		return fault.New(fault.Internal, "claim journal contains a body hash of %d bytes, want %d", len(c.BodyHash), sha256.Size)
	}
	return nil
}

// Encode returns the value to store. The order of the claims in it is not significant.
func (j *Journal) Encode() ([]byte, error) {
	value, err := proto.Marshal(&claimspb.Journal{Format: journalFormat, Segments: j.segments})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode claim journal")
	}
	value = slices.Grow(value, j.claimBytes+j.bodyBytes)
	for _, c := range j.claims {
		value = append(value, c.encoded...)
	}
	return value, nil
}

func (j *Journal) put(c *claimspb.Claim) error {
	message, err := proto.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode claim")
	}
	field := protowire.AppendTag(nil, claimsField, protowire.BytesType)
	field = protowire.AppendBytes(field, message)
	key := Key(c.Key)
	j.remove(key)
	j.claims[key] = storedClaim{Claim: c, encoded: field}
	j.claimBytes += len(field) - len(c.Body)
	j.bodyBytes += len(c.Body)
	return nil
}

func (j *Journal) remove(key Key) {
	if old, ok := j.claims[key]; ok {
		j.claimBytes -= len(old.encoded) - len(old.Body)
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

// trim removes the claims and segments whose retention ended more than ClockSkew ago. It returns
// the object names of the removed segments.
func (j *Journal) trim(now time.Time) (removed []string) {
	for key, c := range j.claims {
		if expired(c.Claim, now) {
			j.remove(key)
		}
	}
	j.segments = slices.DeleteFunc(j.segments, func(s *claimspb.Segment) bool {
		isExpired := now.UnixMilli() > s.KeepUntilMs+ClockSkew.Milliseconds()
		if isExpired {
			removed = append(removed, s.Name)
			delete(j.segmentClaims, s.Name)
		}
		return isExpired
	})
	return removed
}

func expired(c *claimspb.Claim, now time.Time) bool {
	return now.UnixMilli() > c.KeepUntilMs+ClockSkew.Milliseconds()
}

// apply evaluates op against the journal and makes the resulting change in memory. changed
// reports whether there was a change; the reply may then be sent only after the journal has been
// written.
func (j *Journal) apply(op Op, now time.Time) (reply Reply, changed bool) {
	var next *claimspb.Claim
	if op.Claim != nil {
		reply, next = j.evaluateClaim(op.Claim, now)
	} else {
		reply, next = j.evaluateRecord(op.Record, now)
	}
	if next != nil && j.put(next) != nil {
		// A claim that cannot be encoded is not granted.
		reply, next = Reply{Verdict: Unavailable}, nil
	}
	reply.Ticket = op.Ticket
	return reply, next != nil
}

// evaluateClaim returns the verdict on a claim and the claim to store, or nil if none changes.
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

// sameAttemptReply returns the reply to an attempt that already holds the claim. The claim is
// granted again only while no outcome is recorded for it.
func sameAttemptReply(existing *claimspb.Claim) Reply {
	if existing.State == claimspb.Claim_PENDING {
		return Reply{Verdict: Granted}
	}
	return Reply{Verdict: Recorded, Outcome: decodeOutcome(existing)}
}

// otherAttemptReply returns the reply to an attempt whose key is claimed by another attempt.
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

// evaluateRecord returns the reply to a record and the claim to store, or nil if none changes.
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

// tombstone returns the claim that is stored when NotSent is recorded before the claim itself has
// arrived. Without it, a delayed claim message would be granted to an attempt that has ended, and
// the key would never get an outcome.
func tombstone(op *RecordOp, now time.Time) *claimspb.Claim {
	return &claimspb.Claim{
		Key:         op.Key[:],
		Attempt:     op.Attempt,
		State:       claimspb.Claim_NOT_SENT,
		ClaimedMs:   now.UnixMilli(),
		KeepUntilMs: now.Add(tombstoneRetention).UnixMilli(),
	}
}

// withOutcome returns a copy of a claim with an outcome. Its body is replaced by size and digest if
// it would exceed the journal's limit for bodies.
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

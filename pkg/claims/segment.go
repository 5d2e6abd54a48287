package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"path"
	"time"

	"cassiawall.example/cassiawall/pkg/claims/claimspb"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Limits of segments. A segment is an immutable object to which claims with a final outcome move, so
// that the journal, which every commit rewrites, stays small.
const (
	// sealThresholdBytes is the size of a journal, bodies included, from which claims with an
	// outcome move to a segment.
	sealThresholdBytes = 128 << 10
	// minSealAge is the age from which a claim may move to a segment. Younger claims are the most
	// likely to be looked up, and their outcomes may still change from unknown to completed.
	minSealAge = time.Minute
	// MaxSegments bounds the memory of a writer, and the reads that another node needs before it
	// can write the shard's journal.
	MaxSegments = 32
	// sealRetryDelay is the pause after a segment could not be built or written.
	sealRetryDelay = 10 * time.Second
)

// claimSet holds the claims of a segment.
type claimSet map[Key]storedClaim

// pendingSegment is a segment that the journal does not name yet. Its object name contains a digest
// of its value, so that a repeated write cannot store different content under that name.
type pendingSegment struct {
	segment *claimspb.Segment
	claims  claimSet
	value   []byte
}

// segmentName returns the object name of a segment: the journal's name, a slash and the first 16
// bytes of the value's SHA-256 in hex.
func segmentName(journal string, value []byte) string {
	digest := sha256.Sum256(value)
	return journal + "/" + hex.EncodeToString(digest[:16])
}

// firstMissingSegment returns the name of the first segment that has not been read, or "" if all
// have been.
func (j *Journal) firstMissingSegment() string {
	for _, s := range j.segments {
		if _, ok := j.segmentClaims[s.Name]; !ok {
			return s.Name
		}
	}
	return ""
}

// decodeSegment parses the value of a segment and checks it against the digest in name.
func decodeSegment(name string, value []byte) (claimSet, error) {
	journal := path.Dir(name)
	if segmentName(journal, value) != name {
		return nil, fault.New(fault.Internal, "claim segment %s does not match the digest in its name", name)
	}
	j, err := Decode(value)
	if err != nil {
		return nil, err
	}
	for _, c := range j.claims {
		if !sealable(c.Claim) {
			return nil, fault.New(fault.Internal, "claim segment %s contains a claim without a final outcome", name)
		}
	}
	return j.claims, nil
}

// sealable reports whether a claim has an outcome that is kept for the claim's whole retention.
func sealable(c *claimspb.Claim) bool {
	return c.State == claimspb.Claim_COMPLETED || c.State == claimspb.Claim_UNKNOWN
}

// buildSegment returns a segment with the unexpired claims that have an outcome and are at least
// age old. It returns nil if these make up less than half of the journal, or if the journal already
// has MaxSegments segments.
func (j *Journal) buildSegment(journal string, now time.Time, age time.Duration) *pendingSegment {
	moved := NewJournal()
	segment := &claimspb.Segment{}
	for key, c := range j.claims {
		if !sealable(c.Claim) || now.UnixMilli()-c.ClaimedMs < age.Milliseconds() || expired(c.Claim, now) {
			continue
		}
		moved.claims[key] = c
		moved.claimBytes += len(c.encoded)
		segment.KeepUntilMs = max(segment.KeepUntilMs, c.KeepUntilMs)
	}
	if len(j.segments) >= MaxSegments || moved.claimBytes == 0 || 2*moved.claimBytes < j.claimBytes+j.bodyBytes {
		return nil
	}
	value, err := moved.Encode()
	if err != nil {
		return nil
	}
	segment.Name = segmentName(journal, value)
	return &pendingSegment{segment: segment, claims: moved.claims, value: value}
}

// moveToSegment adds a stored segment to the journal and removes the segment's claims from it. A
// claim that has changed since the segment was built stays in the journal and takes precedence over
// its copy in the segment.
func (j *Journal) moveToSegment(s *pendingSegment) {
	if _, ok := j.segmentClaims[s.segment.Name]; ok {
		return
	}
	moved := false
	for key, c := range s.claims {
		if current, ok := j.claims[key]; ok && bytes.Equal(current.encoded, c.encoded) {
			j.remove(key)
			moved = true
		}
	}
	if moved {
		j.segments = append(j.segments, s.segment)
		j.segmentClaims[s.segment.Name] = s.claims
	}
}

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

// Limits of segments.
const (
	// sealThresholdBytes is the size of a journal, bodies included, from which claims with an outcome move
	// to a segment. A commit rewrites the journal, so it should stay small.
	sealThresholdBytes = 128 << 10
	// minSealAge is the age from which a claim is sealed. Younger ones are the likeliest to be
	// asked for, and their outcomes may still change from unknown to completed.
	minSealAge = time.Minute
	// MaxSegments bounds the memory of a writer and the reads after a takeover.
	MaxSegments = 32
	// sealRetryDelay is the pause after a segment could not be written.
	sealRetryDelay = 10 * time.Second
)

// claimSet is the content of a segment.
type claimSet map[Key]storedClaim

// pendingSegment is a segment that is being written. Its name is a digest of its value, so that a repeated
// write cannot store anything else under that name.
type pendingSegment struct {
	segment *claimspb.Segment
	claims  claimSet
	value   []byte
}

// segmentName returns the name under which a segment's value is stored.
func segmentName(journal string, value []byte) string {
	digest := sha256.Sum256(value)
	return journal + "/" + hex.EncodeToString(digest[:16])
}

// firstMissingSegment returns the first segment whose content has not been read, or "".
func (j *Journal) firstMissingSegment() string {
	for _, s := range j.segments {
		if _, ok := j.segmentClaims[s.Name]; !ok {
			return s.Name
		}
	}
	return ""
}

// decodeSegment parses the value of a segment and checks that it is the one that name stands for.
func decodeSegment(name string, value []byte) (claimSet, error) {
	journal := path.Dir(name)
	if segmentName(journal, value) != name {
		return nil, fault.New(fault.Internal, "claim segment %s has other content than its name says", name)
	}
	j, err := Decode(value)
	if err != nil {
		return nil, err
	}
	for _, c := range j.claims {
		if !sealable(c.Claim) {
			return nil, fault.New(fault.Internal, "claim segment %s holds a claim without an outcome", name)
		}
	}
	return j.claims, nil
}

// sealable reports whether a claim has an outcome that holds for its whole window.
func sealable(c *claimspb.Claim) bool {
	return c.State == claimspb.Claim_COMPLETED || c.State == claimspb.Claim_UNKNOWN
}

// buildSegment returns a segment with the claims that have an outcome and are at least age old, or nil if
// they are less than half of the journal.
func (j *Journal) buildSegment(journal string, now time.Time, age time.Duration) *pendingSegment {
	moved := NewJournal()
	segment := &claimspb.Segment{}
	for key, c := range j.claims {
		if !sealable(c.Claim) || now.UnixMilli()-c.ClaimedMs < age.Milliseconds() || expired(c.Claim, now) {
			continue
		}
		moved.claims[key] = c
		moved.claimBytes += len(c.field)
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

// moveToSegment moves the claims of a written segment out of the journal. A claim that has changed since
// stays, and comes before its sealed form.
func (j *Journal) moveToSegment(s *pendingSegment) {
	if _, ok := j.segmentClaims[s.segment.Name]; ok {
		return
	}
	moved := false
	for key, c := range s.claims {
		if current, ok := j.claims[key]; ok && bytes.Equal(current.field, c.field) {
			j.remove(key)
			moved = true
		}
	}
	if moved {
		j.segments = append(j.segments, s.segment)
		j.segmentClaims[s.segment.Name] = s.claims
	}
}

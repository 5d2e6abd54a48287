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
	// sealBytes is the size of a journal, bodies included, from which claims with an outcome move
	// to a segment. A commit rewrites the journal, so it should stay small.
	sealBytes = 128 << 10
	// sealAge is the age from which a claim is sealed. Younger ones are the likeliest to be
	// asked for, and their outcomes may still change from unknown to completed.
	sealAge = time.Minute
	// MaxSegments bounds the memory of a writer and the reads after a takeover.
	MaxSegments = 32
	// sealRetry is the pause after a segment could not be written.
	sealRetry = 10 * time.Second
)

// part is the content of a segment.
type part map[Key]storedClaim

// sealing is a segment that is being written. Its name is a digest of its value, so that a repeated
// write cannot store anything else under that name.
type sealing struct {
	segment *claimspb.Segment
	part    part
	value   []byte
}

// segmentName returns the name under which a segment's value is stored.
func segmentName(journal string, value []byte) string {
	digest := sha256.Sum256(value)
	return journal + "/" + hex.EncodeToString(digest[:16])
}

// missing returns the first segment whose content has not been read, or "".
func (j *Journal) missing() string {
	for _, s := range j.segments {
		if _, ok := j.parts[s.Name]; !ok {
			return s.Name
		}
	}
	return ""
}

// decodeSegment parses the value of a segment and checks that it is the one that name stands for.
func decodeSegment(name string, value []byte) (part, error) {
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

// seal returns a segment with the claims that have an outcome and are at least age old, or nil if
// they are less than half of the journal.
func (j *Journal) seal(journal string, now time.Time, age time.Duration) *sealing {
	moved := NewJournal()
	segment := &claimspb.Segment{}
	for key, c := range j.claims {
		if !sealable(c.Claim) || now.UnixMilli()-c.ClaimedMs < age.Milliseconds() || expired(c.Claim, now) {
			continue
		}
		moved.claims[key] = c
		moved.bytes += len(c.field)
		segment.KeepUntilMs = max(segment.KeepUntilMs, c.KeepUntilMs)
	}
	if len(j.segments) >= MaxSegments || moved.bytes == 0 || 2*moved.bytes < j.bytes+j.bodyBytes {
		return nil
	}
	value, err := moved.Encode()
	if err != nil {
		return nil
	}
	segment.Name = segmentName(journal, value)
	return &sealing{segment: segment, part: moved.claims, value: value}
}

// adopt moves the claims of a written segment out of the journal. A claim that has changed since
// stays, and comes before its sealed form.
func (j *Journal) adopt(s *sealing) {
	if _, ok := j.parts[s.segment.Name]; ok {
		return
	}
	moved := false
	for key, c := range s.part {
		if held, ok := j.claims[key]; ok && bytes.Equal(held.field, c.field) {
			j.drop(key)
			moved = true
		}
	}
	if moved {
		j.segments = append(j.segments, s.segment)
		j.parts[s.segment.Name] = s.part
	}
}

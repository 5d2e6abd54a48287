// Package claims decides which attempt may send a non-idempotent request. Claims are grouped
// into shard journals, which are changed only by conditional update. The package does no I/O:
// Writer turns requests into reads and writes of one journal, Attempt turns verdicts into the
// permission to send once.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Limits of claims and journals.
const (
	// ShardCount is part of the stored layout: two nodes with different counts would look for
	// one key in two journals.
	ShardCount = 256
	// MaxJournalClaimBytes is the size without outcome bodies over which a journal takes no new claims.
	// Recorded digests add at most a third, so a full journal stays under 3/4 of the platform's
	// limit of 1 MiB.
	MaxJournalClaimBytes = 384 << 10
	// MaxJournalBodyBytes is the total size of the outcome bodies in a journal. Further outcomes are
	// recorded as status, size and digest.
	MaxJournalBodyBytes = 192 << 10
	// MaxOutcomeBodyBytes is the largest body that is recorded for replay. Larger ones are recorded
	// as size and digest.
	MaxOutcomeBodyBytes = 4 << 10
	// MinRetention is the shortest time for which a claim is kept. It is far longer than SendWithin,
	// so a claim cannot be trimmed while its attempt may still send.
	MinRetention = 10 * time.Minute
	// ClockSkew is the largest difference assumed between the wall clocks of two VMs.
	ClockSkew = 5 * time.Minute
	// SendTimeout is the time from the start of an attempt after which it may no longer send.
	SendTimeout = 30 * time.Second

	maxAttemptBytes     = 64
	maxContentTypeBytes = 128
)

// Key is the SHA-256 of workspace, route and idempotency key.
type Key [sha256.Size]byte

// NewKey returns the key of a request. The parts are length-prefixed, so that different parts
// never give the same input.
func NewKey(workspace, route, idempotencyKey string) Key {
	h := sha256.New()
	for _, part := range []string{workspace, route, idempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil))
}

// Shard returns the number of the journal that holds the key.
func (k Key) Shard() int { return int(k[0]) }

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ObjectName returns the name of a shard's journal in the object API.
func ObjectName(shard int) string { return fmt.Sprintf("claims/%03d", shard) }

// PreferredWriter returns the node that usually writes a shard, by rendezvous hashing, or "" without
// nodes. Two nodes may disagree: safety rests on the conditional update alone.
func PreferredWriter(shard int, nodes []string) string {
	return rendezvous.Best(ObjectName(shard), nodes)
}

// Verdict is the answer to a claim.
type Verdict int

// Verdicts. Only Granted allows to send.
const (
	// Granted means that the journal holds the claim of this attempt.
	Granted Verdict = iota + 1
	// Recorded means that the outcome is known.
	Recorded
	// Unknown means that another attempt may have sent the request.
	Unknown
	// BodyConflict means that the key was used with another body.
	BodyConflict
	// Unavailable means that the object API did not confirm the claim.
	Unavailable
	// InProgress means that another attempt still expects an outcome.
	InProgress
	// Full means that the journal or the writer's queue takes no new claims.
	Full
)

// State is the state of an outcome.
type State int

// States of outcomes.
const (
	// NotSent means that the attempt has not sent the request and never will.
	NotSent State = iota + 1
	// Completed means that the backend answered.
	Completed
	// UnknownResult means that the attempt sent the request and lost the answer.
	UnknownResult
)

// Outcome is the result of a claimed request.
type Outcome struct {
	State       State
	Status      int
	ContentType string
	Body        []byte
	// BodyDigest and BodyBytes are set instead of Body if the body was too large to record.
	BodyDigest []byte
	BodyBytes  int
}

// CompletedOutcome returns the outcome of an answered request, with the body reduced to what a
// journal takes.
func CompletedOutcome(status int, contentType string, body []byte) Outcome {
	o := Outcome{State: Completed, Status: status, ContentType: contentType, Body: body}
	return o.bounded(MaxOutcomeBodyBytes)
}

// bounded returns the outcome with a valid content type and a body of at most limit bytes.
func (o Outcome) bounded(limit int) Outcome {
	if len(o.ContentType) > maxContentTypeBytes || !utf8.ValidString(o.ContentType) {
		o.ContentType = strings.ToValidUTF8(o.ContentType[:min(len(o.ContentType), maxContentTypeBytes)], "")
	}
	if len(o.Body) > limit {
		digest := sha256.Sum256(o.Body)
		o.BodyDigest, o.BodyBytes, o.Body = digest[:], len(o.Body), nil
	}
	return o
}

// ClaimOp asks for the right to send a request.
type ClaimOp struct {
	Key      Key
	Attempt  string
	BodyHash [sha256.Size]byte
	// Retention is the time in which the caller may repeat the request.
	Retention time.Duration
	// Deadline is the time after which the attempt expects to have an outcome.
	Deadline time.Duration
}

// RecordOp stores the outcome of an attempt.
type RecordOp struct {
	Key     Key
	Attempt string
	Outcome Outcome
}

// Op is one request to a shard's writer: a claim or a record. Ticket identifies it in the reply.
type Op struct {
	Ticket uint64
	Claim  *ClaimOp
	Record *RecordOp
}

// Reply answers an Op. Verdict is Granted for a stored outcome.
type Reply struct {
	Ticket  uint64
	Verdict Verdict
	Outcome Outcome
	// Version is the journal version that holds the claim.
	Version uint64
}

// ValidAttempt reports whether s can identify an attempt.
func ValidAttempt(s string) bool {
	return s != "" && len(s) <= maxAttemptBytes && utf8.ValidString(s)
}

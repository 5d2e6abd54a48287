// Package claims decides which attempt may send a non-idempotent request to a backend server. A
// claim is an idempotency record: it names the one attempt that may send the request of an
// idempotency key, and stores the outcome for replay. Claims are grouped into one journal per
// shard of the keys, which is changed only by compare-and-swap. The package does no I/O: Writer
// returns the reads and writes of one journal that a batch of requests needs, and Attempt tracks
// whether one attempt may send.
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
	// ShardCount is part of the stored layout: nodes with different counts would look up the
	// same key in different journals.
	ShardCount = 256
	// MaxJournalClaimBytes is the size without outcome bodies above which a journal accepts no
	// new claims. Digests of outcomes recorded later add at most a third to it, so that a full
	// journal, bodies included, stays under 3/4 of the 1 MiB that the object API allows for a value.
	MaxJournalClaimBytes = 384 << 10
	// MaxJournalBodyBytes limits the total size of the outcome bodies in a journal. Outcomes
	// beyond it are recorded as status, size and digest.
	MaxJournalBodyBytes = 192 << 10
	// MaxOutcomeBodyBytes is the largest body that is recorded for replay. Of a larger one only
	// the size and digest are recorded.
	MaxOutcomeBodyBytes = 4 << 10
	// MinRetention is the shortest time for which a claim is kept. It is far longer than
	// SendTimeout, so that a claim cannot expire while its attempt may still send.
	MinRetention = 10 * time.Minute
	// ClockSkew is the largest clock skew assumed between two VMs. Claims are kept for this long
	// beyond their retention.
	ClockSkew = 5 * time.Minute
	// SendTimeout is the time after the start of an attempt from which it may no longer send.
	SendTimeout = 30 * time.Second

	maxAttemptBytes     = 64
	maxContentTypeBytes = 128
)

// Key identifies a request: the SHA-256 of its workspace, route and idempotency key.
type Key [sha256.Size]byte

// NewKey returns the key of a request. The parts are hashed with length prefixes, so that different
// triples never give the same hash input.
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

// PreferredWriter returns the node that should write a shard's journal, by rendezvous hashing over
// nodes, or "" if nodes is empty. Nodes with different member lists may disagree: the preferred
// writer only reduces conflicts, safety rests on the compare-and-swap alone.
func PreferredWriter(shard int, nodes []string) string {
	return rendezvous.Best(ObjectName(shard), nodes)
}

// Verdict is the result of a claim.
type Verdict int

// Verdicts. Only Granted permits sending.
const (
	// Granted means that the journal holds the claim for this attempt.
	Granted Verdict = iota + 1
	// Recorded means that the journal holds an outcome, which the reply carries.
	Recorded
	// Unknown means that another attempt may have sent the request and that no outcome is
	// recorded.
	Unknown
	// BodyConflict means that the key was used before with a different request body.
	BodyConflict
	// Unavailable means that the object API did not confirm the claim.
	Unavailable
	// InProgress means that another attempt holds the claim and has not reached its deadline.
	InProgress
	// Full means that the journal or the writer's queue is full.
	Full
)

// State is the state of an outcome.
type State int

// States of outcomes.
const (
	// NotSent means that the attempt has not sent the request and never will.
	NotSent State = iota + 1
	// Completed means that the backend server responded.
	Completed
	// UnknownResult means that the attempt sent the request and received no response.
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

// CompletedOutcome returns the outcome of a request with a response. A body larger than
// MaxOutcomeBodyBytes is replaced by its size and digest.
func CompletedOutcome(status int, contentType string, body []byte) Outcome {
	o := Outcome{State: Completed, Status: status, ContentType: contentType, Body: body}
	return o.bounded(MaxOutcomeBodyBytes)
}

// bounded returns the outcome with a content type that is short and valid UTF-8, and with a body
// of more than limit bytes replaced by its size and digest.
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

// ClaimOp claims the right to send a request.
type ClaimOp struct {
	Key      Key
	Attempt  string
	BodyHash [sha256.Size]byte
	// Retention is the time during which the caller may repeat the request. Values below
	// MinRetention are raised to it.
	Retention time.Duration
	// Deadline is the time within which the attempt expects an outcome.
	Deadline time.Duration
}

// RecordOp stores the outcome of an attempt.
type RecordOp struct {
	Key     Key
	Attempt string
	Outcome Outcome
}

// Op is one request to a shard's writer: either Claim or Record is set. Ticket identifies the
// request in the reply.
type Op struct {
	Ticket uint64
	Claim  *ClaimOp
	Record *RecordOp
}

// Reply is the result of an Op. For a Record, Verdict is Granted if the outcome is stored.
type Reply struct {
	Ticket  uint64
	Verdict Verdict
	Outcome Outcome
	// Version is the journal version that the reply reflects.
	Version uint64
}

// ValidAttempt reports whether s is a valid attempt id: 1 to 64 bytes of valid UTF-8.
func ValidAttempt(s string) bool {
	return s != "" && len(s) <= maxAttemptBytes && utf8.ValidString(s)
}

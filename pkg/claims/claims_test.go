package claims

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

var start = time.UnixMilli(1_800_000_000_000)

func claimOp(ticket uint64, key byte, attempt string) Op {
	return Op{Ticket: ticket, Claim: &ClaimOp{
		Key: Key{31: key}, Attempt: attempt, BodyHash: sha256.Sum256([]byte("body")), Retention: time.Hour, Deadline: time.Minute,
	}}
}

func recordOp(ticket uint64, key byte, attempt string, o Outcome) Op {
	return Op{Ticket: ticket, Record: &RecordOp{Key: Key{31: key}, Attempt: attempt, Outcome: o}}
}

// Guards against a verdict that permits a second attempt to send, or that withholds a recorded outcome.
// Each case applies the operations of before, stores and reloads the journal, and then applies op.
func TestVerdicts(t *testing.T) {
	done := CompletedOutcome(201, "text/plain", []byte("booked"))
	other := claimOp(1, 1, "b")
	other.Claim.BodyHash = sha256.Sum256([]byte("other"))
	cases := map[string]struct {
		before []Op
		op     Op
		at     time.Duration
		want   Verdict
		state  State
	}{
		"first claim":                        {nil, claimOp(1, 1, "a"), 0, Granted, 0},
		"own claim again":                    {[]Op{claimOp(1, 1, "a")}, claimOp(1, 1, "a"), 0, Granted, 0},
		"own claim after not sent":           {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", Outcome{State: NotSent})}, claimOp(1, 1, "a"), 0, Recorded, NotSent},
		"own claim after unknown":            {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", Outcome{State: UnknownResult})}, claimOp(1, 1, "a"), 0, Recorded, UnknownResult},
		"delayed claim of abandoned attempt": {[]Op{recordOp(1, 1, "a", Outcome{State: NotSent})}, claimOp(1, 1, "a"), 0, Recorded, NotSent},
		"repeat while in progress":           {[]Op{claimOp(1, 1, "a")}, claimOp(1, 1, "b"), 0, InProgress, 0},
		"repeat after the deadline":          {[]Op{claimOp(1, 1, "a")}, claimOp(1, 1, "b"), 2 * time.Minute, Unknown, 0},
		"repeat after completion":            {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", done)}, claimOp(1, 1, "b"), 0, Recorded, Completed},
		"repeat after unknown":               {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", Outcome{State: UnknownResult})}, claimOp(1, 1, "b"), 0, Unknown, 0},
		"repeat after not sent":              {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", Outcome{State: NotSent})}, claimOp(1, 1, "b"), 0, Granted, 0},
		"repeat at the end of the window":    {[]Op{claimOp(1, 1, "a")}, claimOp(1, 1, "b"), time.Hour + ClockSkew, Unknown, 0},
		"new work after the window":          {[]Op{claimOp(1, 1, "a")}, claimOp(1, 1, "b"), time.Hour + ClockSkew + time.Second, Granted, 0},
		"other body":                         {[]Op{claimOp(1, 1, "a")}, other, 0, BodyConflict, 0},
		"record by another attempt":          {[]Op{claimOp(1, 1, "a")}, recordOp(1, 1, "b", done), 0, Unknown, 0},
		"not sent after completion":          {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", done)}, recordOp(1, 1, "a", Outcome{State: NotSent}), 0, Recorded, Completed},
		"completion after unknown":           {[]Op{claimOp(1, 1, "a"), recordOp(1, 1, "a", Outcome{State: UnknownResult})}, recordOp(1, 1, "a", done), 0, Granted, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := NewJournal()
			for _, op := range c.before {
				j.apply(op, start)
			}
			value, err := j.Encode()
			require.NoError(t, err)
			j, err = Decode(value)
			require.NoError(t, err)
			reply, _ := j.apply(c.op, start.Add(c.at))
			assert.Equal(t, c.want, reply.Verdict)
			assert.Equal(t, c.state, reply.Outcome.State)
		})
	}
}

// Guards against a second send by one attempt, and against a send so late that the claim may have
// expired.
func TestAuthorizeSendOnce(t *testing.T) {
	granted := func() *Attempt {
		a := NewAttempt(*claimOp(1, 1, "a").Claim, start)
		require.Equal(t, SendOnce, a.LocalWriterDone(Reply{Verdict: Granted}))
		return a
	}
	a := granted()
	assert.True(t, a.AuthorizeSend(start.Add(SendTimeout)))
	assert.False(t, a.AuthorizeSend(start.Add(SendTimeout)), "sent already")
	assert.False(t, a.Abandon(), "a sent attempt is not abandoned")
	assert.False(t, granted().AuthorizeSend(start.Add(SendTimeout+1)), "too late")
	a = granted()
	assert.True(t, a.Abandon())
	assert.False(t, a.AuthorizeSend(start), "abandoned")
	a = granted()
	a.Close()
	assert.False(t, a.AuthorizeSend(start), "its outcome is recorded")
	a = NewAttempt(*claimOp(1, 1, "a").Claim, start)
	assert.Equal(t, ClaimAtLocalWriter, a.PreferredWriterDone(Reply{}, true))
	assert.Equal(t, Respond, a.LocalWriterDone(Reply{Verdict: InProgress}))
	assert.False(t, a.AuthorizeSend(start), "not granted")
	assert.True(t, a.Abandon(), "the writer that did not reply may have stored the claim")
}

// Guards against one write per request: the object API allows only several hundred writes a second.
func TestWriterGroupsRequests(t *testing.T) {
	w := NewWriter(0)
	for i := range MaxBatch + 1 {
		op := claimOp(uint64(i), byte(i), fmt.Sprint("a", i))
		op.Claim.Key[1] = byte(i >> 8)
		_, answered := w.Submit(op, start)
		require.False(t, answered)
	}
	action, _ := w.Next(start)
	require.Equal(t, Read, action.Kind)
	_, err := w.ReadDone(objects.Object{}, fault.New(fault.NotFound, "absent"), start)
	require.NoError(t, err)
	action, _ = w.Next(start)
	require.Equal(t, Write, action.Kind)
	assert.Len(t, w.WriteDone(1, nil, start), MaxBatch)
	action, _ = w.Next(start)
	require.Equal(t, Write, action.Kind, "the rest goes into the next update")
	assert.Len(t, w.WriteDone(2, nil, start), 1)
}

// Guards against a queue that grows without limit while the object API is slow.
func TestWriterQueueIsBounded(t *testing.T) {
	w := NewWriter(0)
	for range MaxQueue {
		_, answered := w.Submit(claimOp(1, 1, "a"), start)
		require.False(t, answered)
	}
	reply, answered := w.Submit(claimOp(2, 1, "b"), start)
	assert.True(t, answered)
	assert.Equal(t, Full, reply.Verdict)
	_, answered = w.Submit(recordOp(3, 1, "a", Outcome{State: NotSent}), start)
	assert.False(t, answered, "a full queue accepts outcomes")
}

// Guards against requests that wait for timeouts while the object API is down, and against refusing
// to replay outcomes that this node has in memory.
func TestWriterRefusesAtOnceDuringOutage(t *testing.T) {
	w := NewWriter(0)
	run := func(op Op, version uint64, err error) []Reply {
		_, answered := w.Submit(op, start)
		require.False(t, answered)
		for {
			action, replies := w.Next(start)
			switch action.Kind {
			case Read:
				_, _ = w.ReadDone(objects.Object{}, fault.New(fault.NotFound, "absent"), start)
			case Write:
				return w.WriteDone(version, err, start)
			default:
				return replies
			}
		}
	}
	outage := fault.New(fault.PlatformUnavailable, "outage")
	done := CompletedOutcome(200, "", []byte("booked"))
	require.Equal(t, Granted, run(claimOp(1, 1, "a"), 1, nil)[0].Verdict)
	require.Equal(t, Granted, run(recordOp(2, 1, "a", done), 2, nil)[0].Verdict)
	require.Equal(t, Unavailable, run(claimOp(3, 2, "b"), 0, outage)[0].Verdict)

	reply, answered := w.Submit(claimOp(4, 3, "c"), start)
	assert.True(t, answered)
	assert.Equal(t, Unavailable, reply.Verdict)
	reply, answered = w.Submit(claimOp(5, 1, "d"), start)
	assert.True(t, answered)
	assert.Equal(t, Recorded, reply.Verdict)

	later := start.Add(RefuseDuration)
	_, answered = w.Submit(claimOp(6, 4, "e"), later)
	assert.False(t, answered, "one request probes")
	_, answered = w.Submit(claimOp(7, 5, "f"), later)
	assert.True(t, answered, "the others do not wait for the probe")
}

// Guards against a journal that exceeds the platform's limit for a value: a full journal gets an
// outcome with the largest body for each of its claims.
func TestJournalStaysUnderPlatformLimit(t *testing.T) {
	j := NewJournal()
	body := bytes.Repeat([]byte("x"), MaxOutcomeBodyBytes)
	claimed := 0
	for ; ; claimed++ {
		op := ClaimOp{Key: sha256.Sum256(fmt.Append(nil, claimed)), Attempt: "abcdefghijklmnopqrstuvwxyz", Retention: time.Hour}
		if reply, _ := j.apply(Op{Claim: &op}, start); reply.Verdict == Full {
			break
		}
	}
	for i := range claimed {
		r := RecordOp{Key: sha256.Sum256(fmt.Append(nil, i)), Attempt: "abcdefghijklmnopqrstuvwxyz", Outcome: CompletedOutcome(200, "application/json", body)}
		reply, _ := j.apply(Op{Record: &r}, start)
		require.Equal(t, Granted, reply.Verdict)
	}
	value, err := j.Encode()
	require.NoError(t, err)
	t.Logf("%d claims, %d bytes", claimed, len(value))
	assert.Less(t, len(value), objects.MaxValueBytes*3/4)
	assert.Greater(t, claimed, 3000)
}

// Guards against removing a claim from the journal that changed while a segment with its older form
// was being written: the key could then be claimed a second time.
func TestMoveToSegmentKeepsChangedClaims(t *testing.T) {
	j := NewJournal()
	for key := range byte(2) {
		j.apply(claimOp(1, key, "a"), start)
		j.apply(recordOp(1, key, "a", Outcome{State: UnknownResult}), start)
	}
	s := j.buildSegment(ObjectName(0), start.Add(minSealAge), minSealAge)
	require.NotNil(t, s)
	changed := start.Add(2 * time.Hour)
	reply, _ := j.apply(claimOp(1, 1, "b"), changed)
	require.Equal(t, Granted, reply.Verdict, "the old claim has expired")
	j.moveToSegment(s)
	assert.Equal(t, 1, j.Len())
	reply, _ = j.apply(claimOp(1, 1, "c"), changed)
	assert.Equal(t, InProgress, reply.Verdict)
	reply, _ = j.apply(claimOp(1, 0, "c"), start)
	assert.Equal(t, Unknown, reply.Verdict, "a claim in a segment still counts")
}

// Guards against a damaged journal that crashes a node, or that decodes without an error but cannot be
// stored again unchanged.
func FuzzDecode(f *testing.F) {
	j := NewJournal()
	j.apply(claimOp(1, 1, "a"), start)
	j.apply(recordOp(1, 1, "a", CompletedOutcome(200, "text/plain", []byte("booked"))), start)
	value, err := j.Encode()
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		j, err := Decode(value)
		if err != nil {
			return
		}
		j.apply(claimOp(1, 1, "b"), start)
		again, err := j.Encode()
		require.NoError(t, err)
		if len(again) > objects.MaxValueBytes {
			return
		}
		second, err := Decode(again)
		require.NoError(t, err)
		assert.Equal(t, j.Len(), second.Len())
		assert.Equal(t, j.claimBytes, second.claimBytes)
	})
}

package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// taken returns a lease of a node that holds it since now with fencing token 1.
func taken(t *testing.T, node string, now time.Time) *Lease {
	l := New(node, node+"/1")
	require.Equal(t, Read, l.Next(now, true, 0).Kind)
	require.NoError(t, l.ReadDone(objects.Object{}, fault.New(fault.NotFound, "none"), now))
	require.Equal(t, Write, l.Next(now, true, 0).Kind)
	l.WriteDone(5, nil, now)
	_, ok := l.MaySend(now)
	require.True(t, ok)
	return l
}

// Guards against a holder that stops although no other node can have the lease, and against a renewal whose condition is
// from before the store was restored.
func TestHolderKeepsTheLeaseOverARestoredStore(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	l := taken(t, "a", now)
	renewal := now.Add(RenewInterval)
	require.Equal(t, Write, l.Next(renewal, true, 0).Kind)
	l.Restored(1000, 50, renewal)
	_, ok := l.MaySend(renewal)
	assert.True(t, ok)
	write := l.Next(renewal, true, 0)
	require.Equal(t, Write, write.Kind)
	assert.Zero(t, write.IfVersion, "the object does not exist")
	record, err := DecodeRecord(write.Value)
	require.NoError(t, err)
	assert.Greater(t, record.FencingToken, uint64(50))
	l.WriteDone(1001, nil, renewal)
	token, ok := l.MaySend(renewal.Add(RenewInterval))
	assert.True(t, ok)
	assert.Equal(t, record.FencingToken, token)
}

// Guards against a second holder while the first may still send orders, and against a fencing token that was given before,
// because the store has lost the record.
func TestLostRecordIsNotTakenForAFreeLease(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	started := New("b", "b/1")
	started.SetRecordMayBeLost(50)
	contenders := map[string]*Lease{"started after the store was restored": started}
	before := New("b", "b/1")
	before.ObserveRemote(Record{Holder: "a", Instance: "a/1", FencingToken: 70, Sequence: 1}, 5, now)
	before.Restored(1000, 50, now)
	contenders["knows the former record"] = before
	for name, l := range contenders {
		t.Run(name, func(t *testing.T) {
			if l.Next(now, true, 0).Kind == Read {
				require.NoError(t, l.ReadDone(objects.Object{}, fault.New(fault.NotFound, "none"), now))
			}
			l.ObserveRemote(Record{Holder: "c", Instance: "c/1", FencingToken: 9, Sequence: 1}, 6, now)
			assert.Equal(t, None, l.Next(now.Add(TTL+MaxDeliveryDelay-time.Millisecond), true, 0).Kind)
			write := l.Next(now.Add(TTL+MaxDeliveryDelay), true, 0)
			require.Equal(t, Write, write.Kind)
			record, err := DecodeRecord(write.Value)
			require.NoError(t, err)
			assert.Greater(t, record.FencingToken, uint64(50))
			if l == before {
				assert.Greater(t, record.FencingToken, uint64(70))
			}
		})
	}
}

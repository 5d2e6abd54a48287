package cachemap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against malformed updates that crash a node or grow the map without bound, and against entries that change
// when they are relayed.
func FuzzMerge(f *testing.F) {
	m := New()
	m.Record(Entry{Key: 1, Engine: 5, Saved: true}, start)
	m.Record(Entry{Key: 2, Engine: 6}, start)
	f.Add(m.TakeUpdates())
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		leader, node := New(), New()
		leader.SetStoreEpoch(store, 1, start)
		node.SetStoreEpoch(store, 1, start)
		leader.Merge(data, true, start)
		require.LessOrEqual(t, len(leader.recent)+len(leader.older), min(maxEntries, len(data)/entryBytes))
		require.LessOrEqual(t, len(leader.pending), min(maxPending, len(data)/entryBytes))
		updates := leader.TakeUpdates()
		require.LessOrEqual(t, len(updates), maxSent*entryBytes)
		node.Merge(updates, false, start)
		for key := range node.recent {
			require.Equal(t, leader.Lookup(key, store, start), node.Lookup(key, store, start))
		}
	})
}

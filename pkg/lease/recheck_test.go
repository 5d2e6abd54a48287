package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Guards against a contender whose wait starts again when it reads a record that it knows, or an older one, and against one
// that does not wait for a holder whose renewal it finds.
func TestRecheckRestartsTheWaitForANewerRecordOnly(t *testing.T) {
	const wait = TTL + MaxDeliveryDelay
	recheckAt := time.Second
	stored := func(version, sequence uint64) objects.Object {
		value, err := json.Marshal(Record{Holder: "a", Instance: "a/1", FencingToken: 1, Sequence: sequence})
		require.NoError(t, err)
		return objects.Object{Version: version, Value: value}
	}
	none := fault.New(fault.NotFound, "none")
	tests := map[string]struct {
		first, second objects.Object
		firstErr      error
		secondErr     error
		mayBeLost     bool
		acquiredAfter time.Duration
	}{
		"unchanged":              {first: stored(5, 3), second: stored(5, 3), acquiredAfter: wait},
		"stale":                  {first: stored(5, 3), second: stored(4, 2), acquiredAfter: wait},
		"renewed":                {first: stored(5, 3), second: stored(6, 4), acquiredAfter: recheckAt + wait},
		"store fails":            {first: stored(5, 3), secondErr: fault.New(fault.PlatformUnavailable, "outage"), acquiredAfter: wait},
		"no record, may be lost": {firstErr: none, secondErr: none, mayBeLost: true, acquiredAfter: wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_800_000_000_000)
			l := New("b", "b/1")
			if test.mayBeLost {
				l.SetRecordMayBeLost(50)
			}
			require.Equal(t, Read, l.Next(now, true, 0).Kind)
			require.NoError(t, l.ReadDone(test.first, test.firstErr, now))
			l.Recheck()
			require.Equal(t, Read, l.Next(now.Add(recheckAt), true, 0).Kind)
			require.NoError(t, l.ReadDone(test.second, test.secondErr, now.Add(recheckAt)))
			assert.Equal(t, None, l.Next(now.Add(test.acquiredAfter-time.Millisecond), true, 0).Kind)
			assert.Equal(t, Write, l.Next(now.Add(test.acquiredAfter), true, 0).Kind)
		})
	}
}

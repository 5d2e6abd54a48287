package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/objects"
)

// Guards against a successor that sends orders while an order of the former holder may still be in flight
// to an engine that ignores fencing tokens. Each case is the former holder's last record.
func TestSuccessorWaits(t *testing.T) {
	cases := map[string]struct {
		last Record
		wait time.Duration
	}{
		"another holder":               {Record{Holder: "a", Instance: "a/1", FencingToken: 3, Sequence: 7}, TTL + MaxDeliveryDelay},
		"released":                     {Record{Holder: "a", Instance: "a/1", FencingToken: 3, Sequence: 7, Released: true}, MaxDeliveryDelay},
		"this node before its restart": {Record{Holder: "b", Instance: "b/1", FencingToken: 3, Sequence: 7}, TTL + MaxDeliveryDelay},
		"this instance":                {Record{Holder: "b", Instance: "b/2", FencingToken: 3, Sequence: 7}, MaxDeliveryDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_800_000_000_000)
			value, err := json.Marshal(c.last)
			require.NoError(t, err)
			l := New("b", "b/2")
			require.Equal(t, Read, l.Next(now, true, 0).Kind)
			require.NoError(t, l.ReadDone(objects.Object{Version: 5, Value: value}, nil, now))
			_, ok := l.MaySend(now)
			assert.False(t, ok)
			assert.Equal(t, None, l.Next(now.Add(c.wait-time.Millisecond), true, 0).Kind)
			taken := l.Next(now.Add(c.wait), true, 0)
			require.Equal(t, Write, taken.Kind)
			next, err := DecodeRecord(taken.Value)
			require.NoError(t, err)
			assert.Greater(t, next.FencingToken, c.last.FencingToken)
			assert.EqualValues(t, 5, taken.IfVersion)
		})
	}
}

package backends

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against malformed states that crash a node, and against states that change when they are encoded.
func FuzzDecodeStates(f *testing.F) {
	f.Add(EncodeStates([]State{{Hash: 1, Assignment: Assignment{Long: 255, Short: 3, Loading: true, Leaving: true}, Version: 65_535}, {}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		states := DecodeStates(data)
		require.Len(t, states, len(data)/stateBytes)
		require.Equal(t, states, DecodeStates(EncodeStates(states)))
		r := newRegistry(2, nil)
		r.ApplyStates(states, 0, now, now)
		r.Pick(Query{Service: "s", Model: "m"}, now)
	})
}

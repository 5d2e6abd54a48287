package peers

import (
	"bytes"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
)

const (
	// maxDecodedPerByte bounds the memory that a decoder takes for each byte of a message: a value of one byte may
	// be an entry of a map or list, which is copied while the map or list grows.
	maxDecodedPerByte = 1 << 10
	// maxDecodedBase bounds the memory for a message of any length.
	maxDecodedBase = 256 << 10
)

// requireLittleMemory fails if decode takes much more memory than size bytes of a message can justify.
func requireLittleMemory(t *testing.T, size int, decode func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	decode()
	runtime.ReadMemStats(&after)
	require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxDecodedBase+maxDecodedPerByte*size), "for %d bytes", size)
}

// truncatedLists are messages and contents that end after the stated length of a list, a map or a text.
func truncatedLists(t testing.TB) map[string][]byte {
	message := func(fields ...byte) []byte { return append([]byte{0xdc, 0, 17}, fields...) }
	const listOf4Mi, mapOf4Mi, bytesOf4Mi, text = "\xdd\x00\x40\x00\x00", "\xdf\x00\x40\x00\x00", "\xc6\x00\x40\x00\x00", "\xdb\x00\x40\x00\x00"
	entries, err := msgpack.Marshal("Entries")
	require.NoError(t, err)
	return map[string][]byte{
		"revisions":   message(append([]byte{0xa0, 0xc2, 0xc2, 0xc2, 0xc2}, listOf4Mi...)...),
		"loads":       message(append([]byte{0xa0, 0xc2, 0xc2, 0xc2, 0xc2, 0xc0}, listOf4Mi...)...),
		"prefixes":    message(append([]byte{0xa0, 0xc2, 0xc2, 0xc2, 0xc2, 0xc0, 0xc0}, bytesOf4Mi...)...),
		"assignments": message(append([]byte{0xa0, 0xc2, 0xc2, 0xc2, 0xc2, 0xc0, 0xc0, 0xc0, 0x9a, 0x01}, mapOf4Mi...)...),
		"sender":      message([]byte(text)...),
		"entries":     append(append([]byte{0x81}, entries...), listOf4Mi...),
	}
}

// Guards against a malformed message of a few bytes for which a node takes so much memory that its process ends.
func TestShortMessagesTakeLittleMemory(t *testing.T) {
	for name, data := range truncatedLists(t) {
		t.Run(name, func(t *testing.T) {
			requireLittleMemory(t, len(data), func() {
				_, err := decode(data)
				assert.Error(t, err)
				_, err = decodeContent(data)
				assert.Error(t, err)
			})
		})
	}
}

// Guards against lengths that are read wrongly, so that a sound value is refused.
func TestSkipValue(t *testing.T) {
	for _, value := range []any{
		nil, true, 0, 127, 128, 1 << 8, 1 << 16, 1 << 32, -1, -33, -1 << 8, -1 << 16, -1 << 40, uint64(math.MaxUint64), float32(1), 1.5,
		"", "a", strings.Repeat("a", 31), strings.Repeat("a", 32), strings.Repeat("a", 300), strings.Repeat("a", 70_000),
		[]byte{}, make([]byte, 200), make([]byte, 300), make([]byte, 70_000), []int{}, []int{1, 2}, make([]int, 16), make([]int, 70_000),
		map[string]int{}, map[string]int{"a": 1}, map[string][]string{"a": {"b", "c"}, "d": nil}, time.Unix(1, 2), time.Unix(1<<40, 2),
	} {
		data, err := msgpack.Marshal(value)
		require.NoError(t, err)
		rest, err := skipValue(append(data, 1, 2, 3))
		require.NoError(t, err, "%T %.20v", value, value)
		assert.Equal(t, []byte{1, 2, 3}, rest, "%T %.20v", value, value)
		for size := range min(len(data), 300) {
			_, err := skipValue(data[:size])
			require.ErrorIs(t, err, errLength)
		}
	}
	_, err := skipValue(bytes.Repeat([]byte{0x91}, maxNesting+2))
	assert.ErrorIs(t, err, errNesting)
}

// Guards against malformed datagrams that crash the link or take much memory, and against a message that changes when
// it is encoded.
func FuzzDecode(f *testing.F) {
	for _, m := range []*message{
		{From: "a", Leader: true, Loads: []backends.Load{{Backend: "e"}}, Heartbeat: Heartbeat{Nodes: 2}},
		{
			From: "a", IsReply: true, Revisions: []Revision{{"k", math.MaxInt64, UnknownAge}}, Peers: []string{"b"}, SentAt: 1, Evidence: []byte{1},
			Heartbeat: Heartbeat{Versions: []Version{{"e", "m", 3}}, StoreEpochs: []cachemap.StoreEpoch{{Address: "s", Epoch: 4}}, Assignments: map[string]backends.Assignment{"e": {Long: 2}}},
			Contents:  []KindContent{{Kind: "k", Content: mirror.Content{Entries: []mirror.Entry{{Name: "n", Value: []byte("{}")}}}}},
		},
	} {
		data, err := encode(m)
		require.NoError(f, err)
		f.Add(data)
		data, err = appendEncoded(data, &echo{SentAt: 1 << 60, HeldMS: 7})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{})
	for _, data := range truncatedLists(f) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m *message
		var err error
		requireLittleMemory(t, len(data), func() { m, err = decode(data) })
		if err != nil {
			return
		}
		require.NotNil(t, m)
		encoded, err := encode(m)
		require.NoError(t, err)
		encoded, err = appendEncoded(encoded, &m.echo)
		require.NoError(t, err)
		again, err := decode(encoded)
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

// Guards against malformed content of a mirror that crashes the node or takes much memory, and against content that
// changes when it is encoded.
func FuzzDecodeContent(f *testing.F) {
	data, err := msgpack.Marshal(&mirror.Content{Revision: 5, Complete: true, Entries: []mirror.Entry{{Name: "a", Revision: 5, Value: []byte(`{"x":1}`)}}})
	require.NoError(f, err)
	f.Add(data)
	for _, data := range truncatedLists(f) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var content mirror.Content
		var err error
		requireLittleMemory(t, len(data), func() { content, err = decodeContent(data) })
		if err != nil {
			return
		}
		encoded, err := msgpack.Marshal(&content)
		require.NoError(t, err)
		again, err := decodeContent(encoded)
		require.NoError(t, err)
		require.Equal(t, content, again)
	})
}

package configsync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// largeDocument returns a document that resembles a configuration with many workspaces.
func largeDocument(workspaces int) []byte {
	r := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for i := range workspaces {
		fmt.Fprintf(&b, "  - name: workspace-%05d\n    api_key_hashes: [%016x%016x%016x%016x]\n    models: [m%d]\n    limits: {requests_per_second: %d}\n",
			i, r.Uint64(), r.Uint64(), r.Uint64(), r.Uint64(), i%6, r.IntN(50))
	}
	return b.Bytes()
}

// Guards against a document that is altered by splitting and joining, and against a small change
// that alters most parts.
func TestSplitKeepsUnchangedParts(t *testing.T) {
	document := largeDocument(18_000)
	manifest, parts := NewManifest(document)
	contents := make([][]byte, len(parts))
	for i, p := range parts {
		contents[i] = p.Content
		assert.LessOrEqual(t, len(p.Content), maxPartBytes)
	}
	joined, err := Join(manifest.Digest, contents)
	require.NoError(t, err)
	assert.Equal(t, document, joined)

	changed := bytes.Replace(document, []byte("workspace-09000\n"), []byte("workspace-09000\n    weight: 3\n"), 1)
	originalIDs := map[PartID]bool{}
	for _, p := range parts {
		originalIDs[p.ID] = true
	}
	differing := 0
	for _, p := range Split(changed) {
		if !originalIDs[p.ID] {
			differing++
		}
	}
	t.Logf("%d bytes in %d parts, %d differ after a change", len(document), len(parts), differing)
	assert.LessOrEqual(t, differing, 2)
	assert.Greater(t, len(parts), 20)
}

// Guards against joining parts in the wrong order.
func TestJoinChecksTheDigest(t *testing.T) {
	_, err := Join(IDOf([]byte("ab")), [][]byte{[]byte("b"), []byte("a")})
	assert.Error(t, err)
}

// Guards against accepting truncated or damaged manifests, and against whole documents decoded as
// manifests.
func TestManifestRoundTrip(t *testing.T) {
	m, _ := NewManifest(largeDocument(3000))
	got, isManifest, err := DecodeManifest(m.Encode())
	require.NoError(t, err)
	assert.True(t, isManifest)
	assert.Equal(t, m, got)
	_, isManifest, err = DecodeManifest([]byte("models: []\n"))
	assert.False(t, isManifest)
	assert.NoError(t, err)
	text := string(m.Encode())
	for _, damaged := range []string{text[:len(text)-30], strings.Replace(text, m.Parts[0].String()+"\n", "", 1), manifestHeader, manifestHeader + "0 xyz"} {
		_, isManifest, err = DecodeManifest([]byte(damaged))
		assert.True(t, isManifest)
		assert.Error(t, err)
	}
}

// Guards against panics on arbitrary objects, and against accepted manifests that change when encoded
// again.
func FuzzDecodeManifest(f *testing.F) {
	m, _ := NewManifest(largeDocument(1000))
	f.Add(m.Encode())
	f.Add([]byte(manifestHeader + "1 00"))
	f.Fuzz(func(t *testing.T, value []byte) {
		m, isManifest, err := DecodeManifest(value)
		if !isManifest || err != nil {
			return
		}
		again, isManifest, err := DecodeManifest(m.Encode())
		if !isManifest || err != nil || again.Digest != m.Digest || len(again.Parts) != len(m.Parts) {
			t.Fatal("an accepted manifest differs after encoding and decoding")
		}
	})
}

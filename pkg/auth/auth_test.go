package auth

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/config"
)

// Guards against a key that gives access to another workspace, an old key that is rejected during a
// rotation, and a stored hash that is accepted as a key.
func TestIndex(t *testing.T) {
	old, next, other := GenerateKey(), GenerateKey(), GenerateKey()
	assert.NotEqual(t, old, next)
	index := NewIndex(&config.Config{Workspaces: []config.Workspace{
		{Name: "north", APIKeyHashes: []string{Hash(old), Hash(next)}},
		{Name: "south", APIKeyHashes: []string{Hash(other), "not-a-hash"}},
	}})
	for key, want := range map[string]string{old: "north", next: "north", other: "south"} {
		found := index.Workspace(key)
		require.NotNil(t, found)
		assert.Equal(t, want, found.Name)
	}
	for _, key := range []string{"", old + "x", Hash(old), "not-a-hash"} {
		assert.Nil(t, index.Workspace(key), key)
	}
}

// Guards against credentials of other authentication schemes that are accepted as keys.
func TestBearerKey(t *testing.T) {
	assert.Equal(t, "k", BearerKey("Bearer k"))
	assert.Equal(t, "k", BearerKey("bearer  k "))
	assert.Empty(t, BearerKey("Basic k"))
	assert.Empty(t, BearerKey("k"))
}

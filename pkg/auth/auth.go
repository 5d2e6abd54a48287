// Package auth creates API keys and finds the workspace that a key belongs to.
package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"slices"
	"strings"

	"cassiawall.example/cassiawall/pkg/config"
)

// keyPrefix marks API keys, so that scanners for leaked secrets can find them.
const keyPrefix = "cw_"

// keyBytes is the entropy of a key. A fast hash is safe only because keys cannot be guessed.
const keyBytes = 32

// GenerateKey returns a new random API key.
func GenerateKey() string {
	secret := make([]byte, keyBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// ExampleKey returns the public key of a workspace in the example configurations. It protects
// nothing and must not be used elsewhere.
func ExampleKey(workspace string) string { return keyPrefix + "example_" + workspace }

// WorkspacesWithExampleKeys returns the names of the workspaces that accept their public example key.
func WorkspacesWithExampleKeys(c *config.Config) []string {
	var names []string
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if slices.Contains(w.APIKeyHashes, Hash(ExampleKey(w.Name))) {
			names = append(names, w.Name)
		}
	}
	return names
}

// Hash returns the hash of a key as it stands in the configuration.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// bucketBytes is the part of a hash that selects a bucket.
const bucketBytes = 8

type bucket [bucketBytes]byte

type entry struct {
	hash      [sha256.Size]byte
	workspace *config.Workspace
}

// Index finds workspaces by API key. It is immutable and safe for concurrent use.
type Index struct {
	buckets map[bucket][]entry
}

// NewIndex returns the index of all keys in c. Hashes that do not parse are ignored; config.Parse
// refuses them.
func NewIndex(c *config.Config) *Index {
	index := &Index{buckets: map[bucket][]entry{}}
	for i := range c.Workspaces {
		for _, text := range c.Workspaces[i].APIKeyHashes {
			index.add(text, &c.Workspaces[i])
		}
	}
	return index
}

func (x *Index) add(text string, workspace *config.Workspace) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	e := entry{hash: [sha256.Size]byte(raw), workspace: workspace}
	b := bucket(raw[:bucketBytes])
	x.buckets[b] = append(x.buckets[b], e)
}

// Workspace returns the workspace that key belongs to, or nil. The hash is compared in
// constant time. The choice of the bucket is not constant in time, but depends only on a hash
// that a client cannot steer towards a stored one.
func (x *Index) Workspace(key string) *config.Workspace {
	hash := sha256.Sum256([]byte(key))
	var found *config.Workspace
	for _, e := range x.buckets[bucket(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(hash[:], e.hash[:]) == 1 {
			found = e.workspace
		}
	}
	return found
}

// BearerKey returns the key in an Authorization header, or "" if there is none.
func BearerKey(authorization string) string {
	scheme, key, found := strings.Cut(authorization, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// Package auth generates API keys and finds the workspace of a key.
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

// keyPrefix identifies API keys of cassiawall to scanners for leaked secrets.
const keyPrefix = "cw_"

// keyBytes is the number of random bytes in a key. That many cannot be guessed, which is why a fast
// hash without salt is safe.
const keyBytes = 32

// GenerateKey returns a new random API key.
func GenerateKey() string {
	secret := make([]byte, keyBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// ExampleKey returns the API key of a workspace in the example configurations. It is published, so it
// must not be used elsewhere.
func ExampleKey(workspace string) string { return keyPrefix + "example_" + workspace }

// WorkspacesWithExampleKeys returns the names of the workspaces that accept their published example
// key.
func WorkspacesWithExampleKeys(c *config.Config) []string {
	var names []string
	for i := range c.Workspaces {
		workspace := &c.Workspaces[i]
		if slices.Contains(workspace.APIKeyHashes, Hash(ExampleKey(workspace.Name))) {
			names = append(names, workspace.Name)
		}
	}
	return names
}

// Hash returns the SHA-256 hash of a key in hexadecimal, the form in which the configuration holds it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// bucketBytes is the number of leading bytes of a hash that select a bucket.
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

// NewIndex returns the index of all keys in c. Malformed hashes are ignored; config.Parse rejects them.
func NewIndex(c *config.Config) *Index {
	index := &Index{buckets: map[bucket][]entry{}}
	for i := range c.Workspaces {
		for _, hexHash := range c.Workspaces[i].APIKeyHashes {
			index.add(hexHash, &c.Workspaces[i])
		}
	}
	return index
}

func (x *Index) add(hexHash string, workspace *config.Workspace) {
	hash, err := hex.DecodeString(hexHash)
	if err != nil || len(hash) != sha256.Size {
		return
	}
	b := bucket(hash[:bucketBytes])
	x.buckets[b] = append(x.buckets[b], entry{hash: [sha256.Size]byte(hash), workspace: workspace})
}

// Workspace returns the workspace of key, or nil if no workspace has it. Hashes are compared in
// constant time. The lookup of the bucket is not, but it reveals nothing useful: it depends on the hash
// of the key, and a client cannot construct a key whose hash approaches a stored one.
func (x *Index) Workspace(key string) *config.Workspace {
	hash := sha256.Sum256([]byte(key))
	var found *config.Workspace
	for _, candidate := range x.buckets[bucket(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(hash[:], candidate.hash[:]) == 1 {
			found = candidate.workspace
		}
	}
	return found
}

// BearerKey returns the bearer token in the value of an Authorization header, or "" if there is none.
func BearerKey(authorization string) string {
	scheme, key, found := strings.Cut(authorization, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
)

// keyIndex finds the workspace of an API key for one configuration version.
type keyIndex struct {
	config *config.Config
	// byPrefix maps the first bytes of a key's hash to the entries that share them. The bytes
	// that select an entry are of a hash, so the time of the lookup tells nothing about a key.
	byPrefix map[[keyPrefixBytes]byte][]keyEntry
}

const keyPrefixBytes = 4

type keyEntry struct {
	hash      [sha256.Size]byte
	workspace *config.Workspace
}

func newKeyIndex(c *config.Config) *keyIndex {
	k := &keyIndex{config: c, byPrefix: map[[keyPrefixBytes]byte][]keyEntry{}}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, text := range w.APIKeyHashes {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			e := keyEntry{hash: [sha256.Size]byte(raw), workspace: w}
			p := [keyPrefixBytes]byte(raw)
			k.byPrefix[p] = append(k.byPrefix[p], e)
		}
	}
	return k
}

func (k *keyIndex) find(key string) *config.Workspace {
	hash := sha256.Sum256([]byte(key))
	var found *config.Workspace
	for _, e := range k.byPrefix[[keyPrefixBytes]byte(hash[:])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.workspace
		}
	}
	return found
}

// authenticate returns the configuration in force and the workspace of the request's API key.
func (s *Server) authenticate(r *http.Request) (*config.Config, *config.Workspace, error) {
	current := s.opt.Board.CurrentConfig()
	if current == nil {
		return nil, nil, fault.New(fault.PlatformUnavailable, "no configuration is in force yet")
	}
	index := s.keys.Load()
	if index == nil || index.config != current {
		index = newKeyIndex(current)
		s.keys.Store(index)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, nil, fault.New(fault.Unauthenticated, "the Authorization header holds no bearer token")
	}
	w := index.find(key)
	if w == nil {
		return nil, nil, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	return current, w, nil
}

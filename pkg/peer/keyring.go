package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"cassiawall.example/cassiawall/pkg/fault"
)

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 16

// maxKeys is the number of keys that are valid at a time: the first signs, the second is only
// accepted while keys are rotated.
const maxKeys = 2

// Key is a secret that all nodes of a fleet share.
type Key struct {
	// ID is sent with each message and selects the key that verifies it.
	ID     uint32
	Secret []byte
}

// Keyring holds the keys of a node. It is safe for concurrent use.
type Keyring struct {
	mu   sync.RWMutex
	keys []Key
}

// NewKeyring returns a keyring that signs with the first key and accepts all of them. There are
// one or two keys. The error is of kind fault.InvalidSettings.
func NewKeyring(keys ...Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace replaces the keys, under the same conditions as NewKeyring. To rotate keys without refused
// messages, first add the new key in second position on all nodes, then move it to the first, then
// remove the old key.
func (k *Keyring) Replace(keys ...Key) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return fault.New(fault.InvalidSettings, "got %d peer keys; configure one, or two during a rotation", len(keys))
	}
	if len(keys) == maxKeys && keys[0].ID == keys[1].ID {
		return fault.New(fault.InvalidSettings, "peer key id %d is used twice", keys[0].ID)
	}
	for _, key := range keys {
		if len(key.Secret) < MinSecretBytes {
			return fault.New(fault.InvalidSettings, "peer key %d has %d bytes; use at least %d", key.ID, len(key.Secret), MinSecretBytes)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append([]Key(nil), keys...)
	return nil
}

// sign returns the id of the signing key and the HMAC-SHA256 of the parts.
func (k *Keyring) sign(parts ...[]byte) (uint32, []byte) {
	k.mu.RLock()
	key := k.keys[0]
	k.mu.RUnlock()
	return key.ID, computeMAC(key.Secret, parts)
}

// verify reports whether mac is the HMAC of the parts under the key with the given id. A mac that is
// truncated, to no less than half of the full length, is compared with the first bytes of the HMAC.
func (k *Keyring) verify(id uint32, mac []byte, parts ...[]byte) bool {
	secret := k.secret(id)
	if secret == nil || len(mac) < sha256.Size/2 || len(mac) > sha256.Size {
		return false
	}
	return hmac.Equal(mac, computeMAC(secret, parts)[:len(mac)])
}

func (k *Keyring) secret(id uint32) []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, key := range k.keys {
		if key.ID == id {
			return key.Secret
		}
	}
	return nil
}

// computeMAC returns the HMAC-SHA256 of the parts. Each part is preceded by its length, so that the
// same bytes split differently give another HMAC.
func computeMAC(secret []byte, parts [][]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

package settings

import (
	"bytes"
	"log/slog"
	"os"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// MinPeerKeyBytes is the minimum length of a peer key. HMAC-SHA256 with a shorter key is weaker than
// its 32-byte output allows.
const MinPeerKeyBytes = 32

// maxPeerKeys is the number of peer keys that are accepted during a rotation, the new and the old one.
const maxPeerKeys = 2

// Load reads and validates a settings file. The error is of kind fault.InvalidSettings and wraps
// strictyaml.Problems if the content is invalid.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "cannot read settings file %s", path)
	}
	return Parse(text)
}

// Parse decodes a settings document, validates it and fills in defaults. The settings are nil if the
// document has any problem. The error is of kind fault.InvalidSettings and wraps
// strictyaml.Problems, which lists all of them.
func Parse(text []byte) (*Settings, error) {
	var s Settings
	document := strictyaml.Decode(text, &s)
	s.validate(document)
	if err := document.Err(); err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "settings are refused")
	}
	s.setDefaults()
	return &s, nil
}

// SlogLevel returns LogLevel as slog.Level, or slog.LevelInfo if LogLevel is not a valid level.
func (s *Settings) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// LoadPeerKeys reads the peer keys, the signing key first. It fails if a key cannot be read or is
// shorter than MinPeerKeyBytes. The error is of kind fault.InvalidSettings and never contains a key.
func (s *Settings) LoadPeerKeys() ([][]byte, error) {
	keys := make([][]byte, 0, len(s.PeerKeys))
	for i, secret := range s.PeerKeys {
		key, err := secret.Read()
		if err != nil {
			return nil, err
		}
		if len(key) < MinPeerKeyBytes {
			return nil, fault.New(fault.InvalidSettings, "peer_keys[%d] has %d bytes; at least %d are needed", i, len(key), MinPeerKeyBytes)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// Read returns the secret without surrounding white space. The error is of kind
// fault.InvalidSettings.
func (s Secret) Read() ([]byte, error) {
	if s.Env != "" {
		value, ok := os.LookupEnv(s.Env)
		if !ok {
			return nil, fault.New(fault.InvalidSettings, "environment variable %s is not set", s.Env)
		}
		return bytes.TrimSpace([]byte(value)), nil
	}
	text, err := os.ReadFile(s.File)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "cannot read secret file %s", s.File)
	}
	return bytes.TrimSpace(text), nil
}

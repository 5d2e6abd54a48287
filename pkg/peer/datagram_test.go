package peer

import (
	"crypto/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

func newCodec(k *Keyring, own string, now *time.Time) *codec {
	return &codec{keyring: k, ownAddress: own, now: func() time.Time { return *now }}
}

// Guards against accepting datagrams that somebody without a key forges, alters, replays, delays or
// redirects.
func TestDatagramChecks(t *testing.T) {
	k := newTestKeyring(t, keyA)
	message := &peerpb.Gossip{Kind: peerpb.Gossip_PING, From: "a", Sequence: 7}
	for name, c := range map[string]struct {
		alter  func(data []byte) []byte
		later  time.Duration
		own    string
		reason string
	}{
		"valid":           {reason: ""},
		"other node":      {own: "10.0.0.9:1", reason: dropSignature},
		"too old":         {later: ReplayWindow + time.Second, reason: dropReplay},
		"from the future": {later: -ReplayWindow - time.Second, reason: dropReplay},
		"empty":           {alter: func([]byte) []byte { return nil }, reason: dropSize},
		"too long":        {alter: func(d []byte) []byte { return append(d, make([]byte, MaxDatagramBytes)...) }, reason: dropSize},
		"appended":        {alter: func(d []byte) []byte { return append(d, 0) }, reason: dropSignature},
		"other version":   {alter: func(d []byte) []byte { d[0]++; return d }, reason: dropSize},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			data, err := newCodec(k, "10.0.0.1:1", &now).encode("10.0.0.2:1", message)
			require.NoError(t, err)
			if c.alter != nil {
				data = c.alter(data)
			}
			now = now.Add(c.later)
			own := "10.0.0.2:1"
			if c.own != "" {
				own = c.own
			}
			got, reason := newCodec(k, own, &now).decode(data)
			assert.Equal(t, c.reason, reason)
			if reason == "" {
				assert.True(t, proto.Equal(message, got))
			}
		})
	}
}

// Guards against a header or message byte that can be altered because the HMAC does not cover it.
func TestEveryDatagramByteIsAuthenticated(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newTestKeyring(t, keyA)
	data, err := newCodec(k, "a", &now).encode("b", &peerpb.Gossip{From: "a", Sequence: 7})
	require.NoError(t, err)
	receiver := newCodec(k, "b", &now)
	for i := range data {
		altered := append([]byte(nil), data...)
		altered[i] ^= 1
		_, reason := receiver.decode(altered)
		assert.NotEmpty(t, reason, "byte %d", i)
	}
	_, reason := receiver.decode(data)
	assert.Empty(t, reason)
	_, reason = receiver.decode(data)
	assert.Equal(t, dropReplay, reason)
}

// Guards against a datagram over MaxDatagramBytes, which the network would fragment.
func TestOversizedMessageIsNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	_, err := newCodec(newTestKeyring(t, keyA), "a", &now).encode("b", &peerpb.Gossip{From: string(make([]byte, MaxMessageBytes))})
	assert.Error(t, err)
}

// Guards against dropped datagrams that are not counted, and against a transport that does not
// deliver.
func TestTransportDeliversAndCounts(t *testing.T) {
	k := newTestKeyring(t, keyA)
	a, err := Listen(TransportOptions{Listen: "127.0.0.1:0", Keyring: k, Logger: discardLogger})
	require.NoError(t, err)
	defer a.Close()
	unauthorized, err := Listen(TransportOptions{Listen: "127.0.0.1:0", Keyring: newTestKeyring(t, keyB), Logger: discardLogger})
	require.NoError(t, err)
	defer unauthorized.Close()
	b, err := Listen(TransportOptions{Listen: "127.0.0.1:0", Keyring: k, Logger: discardLogger})
	require.NoError(t, err)
	got := make(chan *peerpb.Gossip, 1)
	go func() { _ = b.Run(t.Context(), func(_ string, m *peerpb.Gossip) { got <- m }) }()
	require.NoError(t, unauthorized.Send(b.Address(), &peerpb.Gossip{From: "stranger"}))
	require.NoError(t, a.Send(b.Address(), &peerpb.Gossip{From: "a"}))
	assert.Equal(t, "a", (<-got).From)
	assert.EqualValues(t, 1, b.dropped[dropSignature].Count())
	assert.EqualValues(t, 1, a.sent.Count())
}

// Guards against crashes on any datagram, and against accepting messages without the key. The
// receiver's key is random in each process, so no input of the fuzzer can be valid.
func FuzzDecodeDatagram(f *testing.F) {
	sender, err := NewKeyring(keyA)
	if err != nil {
		f.Fatal(err)
	}
	secret := make([]byte, MinSecretBytes)
	_, _ = rand.Read(secret)
	receiver, err := NewKeyring(Key{ID: keyA.ID, Secret: secret})
	if err != nil {
		f.Fatal(err)
	}
	now := time.Unix(1000, 0)
	seed, err := newCodec(sender, "a", &now).encode("b", &peerpb.Gossip{From: "a", Updates: []*peerpb.MemberUpdate{{Name: "c"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{datagramVersion})
	f.Add(make([]byte, MaxDatagramBytes+1))
	f.Fuzz(func(t *testing.T, data []byte) {
		message, reason := newCodec(receiver, "b", &now).decode(data)
		if message != nil || reason == "" {
			t.Fatal("datagram accepted without the key")
		}
	})
}

// Guards against crashes on any message from a node that has the key.
func FuzzDecodeMessage(f *testing.F) {
	k, err := NewKeyring(keyA)
	if err != nil {
		f.Fatal(err)
	}
	now := time.Unix(1000, 0)
	f.Add([]byte{})
	f.Add([]byte("\x08\x01\x1a\x01a"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) > MaxMessageBytes {
			return
		}
		data := make([]byte, headerBytes, MaxDatagramBytes)
		data = append(data, payload...)
		data[0] = datagramVersion
		sender := newCodec(k, "a", &now)
		sender.writeHeader("b", data)
		_, reason := newCodec(k, "b", &now).decode(data)
		if reason != "" && reason != dropMalformed {
			t.Fatalf("sealed datagram dropped: %s", reason)
		}
	})
}

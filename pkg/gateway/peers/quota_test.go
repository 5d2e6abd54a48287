package peers

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/limits"
)

// Guards against messages about quotas that change on the way, grow beyond what the target size allows (9 KB/s per node at 13
// requests/s), are taken for others, or are not ignored in a deployment without quotas.
func TestQuotaMessages(t *testing.T) {
	query := &limits.Message{Start: 1 << 59, FirstLeader: "10.0.0.1:7000", Query: &limits.Query{Number: 12345, Workspace: 1 << 63, Version: 12, Rate: 824739, Burst: 824739, Needs: []int64{9200}}}
	reply := &limits.Message{Start: 1 << 59, FirstLeader: "10.0.0.1:7000", Reply: &limits.Reply{Number: 12345, Workspace: 1 << 63, Granted: 1, Epoch: 1 << 31, StampMS: 1e7, Level: 800000, Holders: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}}}
	size := 0
	for _, m := range []*limits.Message{query, reply, {Return: &limits.Return{Tokens: 5}}, {Appointment: &limits.Appointment{Hold: 5}}, {Ack: &limits.Ack{Lent: true}}, {Probe: 7}} {
		data, err := appendEncoded([]byte{quotaMark}, m)
		require.NoError(t, err)
		if m.Query != nil || m.Reply != nil {
			size += len(data)
		}
		var got *limits.Message
		var from string
		l := &Link{opt: Options{OnQuota: func(sender string, m *limits.Message) { from, got = sender, m }}}
		assert.True(t, l.handleQuota(netip.MustParseAddrPort("[::ffff:10.0.0.1]:7000"), data))
		assert.Equal(t, m, got)
		assert.Equal(t, "10.0.0.1:7000", from)
		assert.False(t, (&Link{}).handleQuota(netip.AddrPort{}, data))
		_, err = decode(data)
		assert.Error(t, err)
		report, err := encode(&message{From: "x"})
		require.NoError(t, err)
		assert.False(t, l.handleQuota(netip.AddrPort{}, report))
	}
	t.Logf("a query and its reply have %d bytes", size)
	assert.Less(t, size, 300)
}

// Guards against a panic, or an allocation by a stated length, on any datagram.
func FuzzQuotaMessage(f *testing.F) {
	f.Add([]byte{0x98, 1, 0xa0, 0xc2, 0x97, 1, 1, 1, 0xca, 0, 0, 0, 0})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = decodeQuota(data) })
}

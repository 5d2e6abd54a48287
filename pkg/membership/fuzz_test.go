package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Guards against panics, an unbounded member list and the loss of this node's own record when
// authenticated nodes send arbitrary messages.
func FuzzReceive(f *testing.F) {
	for kind := range peerpb.Gossip_Kind_name {
		data, err := proto.Marshal(&peerpb.Gossip{
			Kind: peerpb.Gossip_Kind(kind), From: "b", Target: "c", SyncAfter: "a", LiveMembers: 9, ViewDigest: 5,
			Updates: []*peerpb.MemberUpdate{
				{Name: "b", GossipAddress: "b:1", State: peerpb.MemberUpdate_ALIVE},
				{Name: "a", State: peerpb.MemberUpdate_DEAD, Incarnation: 1 << 63},
				{Name: "c", GossipAddress: "c:1", State: peerpb.MemberUpdate_SUSPECT, Accuser: "b"},
			},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint8(kind))
	}
	f.Fuzz(func(t *testing.T, data []byte, repeats uint8) {
		var message peerpb.Gossip
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		now := time.Unix(1000, 0)
		m := New(Options{
			Self: Member{Name: "a", GossipAddress: "a:1", Incarnation: 5}, Rand: rand.New(rand.NewPCG(1, 1)), MaxMembers: 8,
		}, now)
		for range int(repeats%16) + 1 {
			m.Receive(now, "x:1", &message)
			m.Tick(now)
			now = now.Add(700 * time.Millisecond)
		}
		if len(m.Members()) > 8 || m.Live() < 1 || m.Self().Incarnation < 5 {
			t.Fatalf("%d members, %d live, self %+v", len(m.Members()), m.Live(), m.Self())
		}
	})
}

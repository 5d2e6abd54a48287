package membership

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

const (
	// syncInterval bounds the traffic of reading another node's view: at 400 members a reading
	// takes about 30 KB.
	syncInterval = 10 * time.Second
	// syncPatience is how long this node's view must be unchanged before another is read.
	// Shorter differences come from updates that are still on their way.
	syncPatience = 5 * time.Second
	// churnInterval is the interval of readings while the view changes all the time.
	churnInterval = 30 * time.Second
	// syncTimeout ends a reading whose page was lost.
	syncTimeout = time.Second
	// freshShare is the share of another node's members below which this node takes itself to
	// be new and reads the view at once.
	freshShare = 0.8
)

// syncState is the reading of another node's view.
type syncState struct {
	// changed is when the digest of this node's view last changed.
	changed time.Time
	digest  uint64
	last    time.Time

	peer     string
	after    string
	due      bool
	deadline time.Time
}

// noteDigest compares the views and starts a reading if they differ while this one is settled.
// A match with one peer proves nothing, because a whole data centre can have missed an update.
func (m *Machine) noteDigest(now time.Time, sender *record, message *peerpb.Gossip) {
	s := &m.sync
	if s.digest != m.digest {
		s.digest = m.digest
		s.changed = now
	}
	if message.ViewDigest == 0 || message.ViewDigest == m.digest || s.peer != "" {
		return
	}
	if !m.syncDue(now, int(message.LiveMembers)) {
		return
	}
	s.peer = sender.Name
	s.after = ""
	s.due = true
	s.last = now
}

func (m *Machine) syncDue(now time.Time, peersLive int) bool {
	s := &m.sync
	if now.Sub(s.last) < syncInterval {
		return false
	}
	fresh := float64(m.live) < freshShare*float64(peersLive)
	settled := now.Sub(s.changed) >= syncPatience
	return fresh || settled || now.Sub(s.last) >= churnInterval
}

// tickSync asks for one page per tick.
func (m *Machine) tickSync(now time.Time, out *Actions) {
	s := &m.sync
	if s.peer == "" {
		return
	}
	peer, known := m.members[s.peer]
	if !known || (!s.due && now.After(s.deadline)) {
		s.peer = ""
		return
	}
	if !s.due {
		return
	}
	s.due = false
	s.deadline = now.Add(m.stretch(syncTimeout))
	request := m.message(peerpb.Gossip_SYNC, m.nextSequence())
	request.SyncAfter = s.after
	m.introduce(out, peer.GossipAddress, peer.Name, request)
}

func (m *Machine) receivePage(now time.Time, page *peerpb.Gossip) {
	s := &m.sync
	if page.From != s.peer || page.SyncAfter != s.after || s.due {
		return
	}
	if page.SyncNext == "" {
		s.peer = ""
		return
	}
	s.after = page.SyncNext
	s.due = true
	s.deadline = now.Add(m.stretch(syncTimeout))
}

// sendPage answers with the live members after the requested name, as many as fit.
func (m *Machine) sendPage(address string, request *peerpb.Gossip, out *Actions) {
	page := m.message(peerpb.Gossip_SYNC_PAGE, request.Sequence)
	page.SyncAfter = request.SyncAfter
	room := m.o.MaxPayload - proto.Size(page) - maxNameBytes
	for _, r := range m.liveAfter(request.SyncAfter) {
		u := toUpdate(r.Member, "")
		// A suspicion spreads only with its accuser, so that a reading does not confirm it.
		u.State = peerpb.MemberUpdate_ALIVE
		room -= proto.Size(u) + fieldOverhead
		if room < 0 && len(page.Updates) > 0 {
			page.SyncNext = page.Updates[len(page.Updates)-1].Name
			break
		}
		page.Updates = append(page.Updates, u)
	}
	out.Sends = append(out.Sends, Send{Address: address, Name: request.From, Message: page})
}

// maxNameBytes is the room kept for the name at which the next page starts.
const maxNameBytes = 256

func (m *Machine) liveAfter(name string) []*record {
	var after []*record
	for _, r := range m.list {
		if r.live() && r.Name > name {
			after = append(after, r)
		}
	}
	slices.SortFunc(after, func(a, b *record) int { return strings.Compare(a.Name, b.Name) })
	return after
}

// Import merges members that a peer's bootstrap reply lists. Their incarnations decide.
func (m *Machine) Import(now time.Time, updates []*peerpb.MemberUpdate) Actions {
	var out Actions
	for _, u := range updates {
		if u.State == peerpb.MemberUpdate_STATE_UNSPECIFIED {
			continue
		}
		m.merge(now, u, &out)
	}
	return out
}

// Export returns the members for a bootstrap reply.
func Export(members []Member) []*peerpb.MemberUpdate {
	updates := make([]*peerpb.MemberUpdate, 0, len(members))
	for _, member := range members {
		if member.State == blackboard.MemberAlive || member.State == blackboard.MemberSuspect {
			updates = append(updates, toUpdate(member, ""))
		}
	}
	return updates
}

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
	// minSyncInterval is the least time between anti-entropy syncs with other nodes. It bounds
	// their traffic: at 400 members a sync takes about 30 KB.
	minSyncInterval = 10 * time.Second
	// viewSettleTime is how long this node's view must be unchanged before a differing digest
	// starts a sync. Before that, the difference usually comes from updates still in transit.
	viewSettleTime = 5 * time.Second
	// maxSyncInterval is the time after the last sync from which on a differing digest starts one
	// even if the view keeps changing.
	maxSyncInterval = 30 * time.Second
	// syncPageTimeout ends a sync whose request or page was lost.
	syncPageTimeout = time.Second
	// staleViewRatio is the ratio of this node's live members to the peer's below which this node
	// syncs before its view has been unchanged for viewSettleTime, as after its start.
	staleViewRatio = 0.8
)

// syncState is the anti-entropy sync in progress, in which this node pulls the live members of a
// peer page by page.
type syncState struct {
	// digestChangedAt is when digest, the last digest of this node's view, changed.
	digestChangedAt time.Time
	digest          uint64
	startedAt       time.Time

	// peer is the name of the member that this node syncs from. It is empty between syncs.
	peer string
	// cursor is the name of the last member of the previous page.
	cursor string
	// requestDue is set when the next page is to be requested at the next tick.
	requestDue   bool
	pageDeadline time.Time
}

// compareDigest starts a sync if the sender's view digest differs from this node's and a sync is due.
// A match does not postpone the next sync: a whole data centre can have missed the same update.
func (m *Machine) compareDigest(now time.Time, sender *record, message *peerpb.Gossip) {
	s := &m.sync
	if s.digest != m.digest {
		s.digest = m.digest
		s.digestChangedAt = now
	}
	if message.ViewDigest == 0 || message.ViewDigest == m.digest || s.peer != "" {
		return
	}
	if !m.syncDue(now, int(message.LiveMembers)) {
		return
	}
	s.peer = sender.Name
	s.cursor = ""
	s.requestDue = true
	s.startedAt = now
}

func (m *Machine) syncDue(now time.Time, peerLiveCount int) bool {
	s := &m.sync
	if now.Sub(s.startedAt) < minSyncInterval {
		return false
	}
	viewStale := float64(m.live) < staleViewRatio*float64(peerLiveCount)
	settled := now.Sub(s.digestChangedAt) >= viewSettleTime
	return viewStale || settled || now.Sub(s.startedAt) >= maxSyncInterval
}

// tickSync requests at most one page per tick.
func (m *Machine) tickSync(now time.Time, out *Actions) {
	s := &m.sync
	if s.peer == "" {
		return
	}
	peer, known := m.members[s.peer]
	if !known || (!s.requestDue && now.After(s.pageDeadline)) {
		s.peer = ""
		return
	}
	if !s.requestDue {
		return
	}
	s.requestDue = false
	s.pageDeadline = now.Add(m.scaleTimeout(syncPageTimeout))
	request := m.message(peerpb.Gossip_SYNC, m.nextSequence())
	request.SyncAfter = s.cursor
	m.sendWithSelf(out, peer.GossipAddress, peer.Name, request)
}

func (m *Machine) receivePage(now time.Time, page *peerpb.Gossip) {
	s := &m.sync
	if page.From != s.peer || page.SyncAfter != s.cursor || s.requestDue {
		return
	}
	if page.SyncNext == "" {
		s.peer = ""
		return
	}
	s.cursor = page.SyncNext
	s.requestDue = true
	s.pageDeadline = now.Add(m.scaleTimeout(syncPageTimeout))
}

// sendPage sends the live members that follow the requested name, as many as fit into a message.
func (m *Machine) sendPage(address string, request *peerpb.Gossip, out *Actions) {
	page := m.message(peerpb.Gossip_SYNC_PAGE, request.Sequence)
	page.SyncAfter = request.SyncAfter
	room := m.options.MaxPayload - proto.Size(page) - syncNextReserve
	for _, r := range m.liveAfter(request.SyncAfter) {
		u := toUpdate(r.Member, "")
		// Suspected members are sent as alive: a suspicion spreads only with its accuser, so that
		// a sync does not count as a confirmation.
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

// syncNextReserve is the space, in bytes, that a page reserves for the name after which the next
// page starts.
const syncNextReserve = 256

func (m *Machine) liveAfter(name string) []*record {
	var following []*record
	for _, r := range m.records {
		if r.live() && r.Name > name {
			following = append(following, r)
		}
	}
	slices.SortFunc(following, func(a, b *record) int { return strings.Compare(a.Name, b.Name) })
	return following
}

// Import merges the members of a peer's bootstrap reply. Updates that do not supersede the state of
// an existing member are ignored.
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

// Export returns the live members as updates for a bootstrap reply.
func Export(members []Member) []*peerpb.MemberUpdate {
	updates := make([]*peerpb.MemberUpdate, 0, len(members))
	for _, member := range members {
		if member.State == blackboard.MemberAlive || member.State == blackboard.MemberSuspect {
			updates = append(updates, toUpdate(member, ""))
		}
	}
	return updates
}

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
	minSyncInterval = 10 * time.Second
	// syncPatience is how long this node's view must be unchanged before another is read.
	// Shorter differences come from updates that are still on their way.
	viewSettleTime = 5 * time.Second
	// churnInterval is the interval of readings while the view changes all the time.
	maxSyncInterval = 30 * time.Second
	// syncTimeout ends a reading whose page was lost.
	syncPageTimeout = time.Second
	// freshShare is the share of another node's members below which this node takes itself to
	// be new and reads the view at once.
	staleViewRatio = 0.8
)

// syncState is the reading of another node's view.
type syncState struct {
	// changed is when the digest of this node's view last changed.
	digestChangedAt time.Time
	digest          uint64
	startedAt       time.Time

	peer         string
	cursor       string
	requestDue   bool
	pageDeadline time.Time
}

// noteDigest compares the views and starts a reading if they differ while this one is settled.
// A match with one peer proves nothing, because a whole data centre can have missed an update.
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

func (m *Machine) syncDue(now time.Time, peerLive int) bool {
	s := &m.sync
	if now.Sub(s.startedAt) < minSyncInterval {
		return false
	}
	viewStale := float64(m.live) < staleViewRatio*float64(peerLive)
	settled := now.Sub(s.digestChangedAt) >= viewSettleTime
	return viewStale || settled || now.Sub(s.startedAt) >= maxSyncInterval
}

// tickSync asks for one page per tick.
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

// sendPage answers with the live members after the requested name, as many as fit.
func (m *Machine) sendPage(address string, request *peerpb.Gossip, out *Actions) {
	page := m.message(peerpb.Gossip_SYNC_PAGE, request.Sequence)
	page.SyncAfter = request.SyncAfter
	room := m.options.MaxPayload - proto.Size(page) - syncNextReserve
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

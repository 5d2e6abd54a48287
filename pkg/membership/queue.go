package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// fieldOverhead is the most, in bytes, that the protobuf tag and length add to an update within a
// message.
const fieldOverhead = 4

// queuedUpdate is an update that this node still has to send.
type queuedUpdate struct {
	update *peerpb.MemberUpdate
	// size is the encoded size within a message, in bytes.
	size          int
	transmissions int
	// sequence orders the updates by the time at which they were queued.
	sequence uint64
}

// updateQueue holds the updates to piggyback on messages, at most one per member: the newest.
type updateQueue struct {
	items    []*queuedUpdate
	sequence uint64
}

func (q *updateQueue) put(u *peerpb.MemberUpdate) {
	q.remove(u.Name)
	q.sequence++
	q.items = append(q.items, &queuedUpdate{update: u, size: proto.Size(u) + fieldOverhead, sequence: q.sequence})
}

func (q *updateQueue) remove(name string) {
	q.items = slices.DeleteFunc(q.items, func(i *queuedUpdate) bool { return i.update.Name == name })
}

// nextBatch returns the updates that fit into size bytes, those with the fewest transmissions
// first and the newest first among equals. It drops updates that have been sent maxTransmissions
// times.
func (q *updateQueue) nextBatch(size, maxTransmissions int) []*peerpb.MemberUpdate {
	slices.SortFunc(q.items, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.sequence, a.sequence))
	})
	var batch []*peerpb.MemberUpdate
	for _, item := range q.items {
		if item.size > size {
			continue
		}
		size -= item.size
		item.transmissions++
		batch = append(batch, item.update)
	}
	q.items = slices.DeleteFunc(q.items, func(i *queuedUpdate) bool { return i.transmissions >= maxTransmissions })
	return batch
}

// maxTransmissions returns how often this node sends one update.
func (m *Machine) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(m.live+1))))
}

// message returns a message with the fields that are common to all kinds.
func (m *Machine) message(kind peerpb.Gossip_Kind, sequence uint64) *peerpb.Gossip {
	return &peerpb.Gossip{
		Kind:          kind,
		Sequence:      sequence,
		From:          m.self.Name,
		ConfigVersion: m.self.ConfigVersion,
		ViewDigest:    m.digest,
		LiveMembers:   uint32(m.live),
	}
}

// Message returns a message of the given kind without updates, to which the caller adds its own
// payload.
func (m *Machine) Message(kind peerpb.Gossip_Kind) *peerpb.Gossip {
	return m.message(kind, m.nextSequence())
}

// send adds as many queued updates to the message as fit and adds the message to the sends. If the
// receiver is suspected, dead or left in this node's view, that state comes first, because only the
// receiver can refute it.
func (m *Machine) send(out *Actions, address, name string, message *peerpb.Gossip) {
	if to, known := m.members[name]; known && !m.isAlive(to) {
		message.Updates = append(message.Updates, toUpdate(to.Member, m.self.Name))
	}
	room := m.options.MaxPayload - proto.Size(message)
	message.Updates = append(message.Updates, m.queue.nextBatch(room, m.maxTransmissions())...)
	out.Sends = append(out.Sends, Send{Address: address, Name: name, Message: message})
}

func (m *Machine) sendTo(out *Actions, to *record, message *peerpb.Gossip) {
	m.send(out, to.GossipAddress, to.Name, message)
}

// sendWithSelf sends a message that also carries this node's own state, to a receiver that may not
// have this node as a member.
func (m *Machine) sendWithSelf(out *Actions, address, name string, message *peerpb.Gossip) {
	message.Updates = append(message.Updates, toUpdate(m.self.Member, ""))
	m.send(out, address, name, message)
}

package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// fieldOverhead is the most that tag and length add to an update within a message, in bytes.
const fieldOverhead = 4

// queued is an update that this node still repeats.
type queuedUpdate struct {
	update        *peerpb.MemberUpdate
	size          int
	transmissions int
	sequence      uint64
}

// updateQueue holds at most one update per member, the newest.
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

// take returns the updates that fit into size bytes, least repeated first and newest first
// among equals, and drops those repeated limit times.
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

// retransmits returns how often one node repeats an update.
func (m *Machine) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(m.live+1))))
}

// message returns a message with the fields that all kinds share.
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

// Message returns a message of the given kind without updates, for payloads of the caller.
func (m *Machine) Message(kind peerpb.Gossip_Kind) *peerpb.Gossip {
	return m.message(kind, m.nextSequence())
}

// send fills the message with updates and adds it to the sends. A receiver that this node takes
// to be suspected or dead is told so first, because only it can refute that.
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

// introduce sends to an address that may not know this node.
func (m *Machine) sendWithSelf(out *Actions, address, name string, message *peerpb.Gossip) {
	message.Updates = append(message.Updates, toUpdate(m.self.Member, ""))
	m.send(out, address, name, message)
}

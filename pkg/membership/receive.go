package membership

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Receive processes a message that arrived from address. The caller has authenticated the sender as
// a node of the fleet.
func (m *Machine) Receive(now time.Time, address string, message *peerpb.Gossip) Actions {
	var out Actions
	if message.From == "" || message.From == m.self.Name {
		return out
	}
	senderNeedsSelf := false
	for _, u := range message.Updates {
		// A sender that includes its own state may not have this node as a member, and one that
		// reports this node's state may have missed a refutation. Both need this node's state.
		senderNeedsSelf = senderNeedsSelf || u.Name == message.From || u.Name == m.self.Name
		m.merge(now, u, &out)
	}
	sender, known := m.members[message.From]
	if known {
		m.updateConfigVersion(sender, message.ConfigVersion, &out)
		m.compareDigest(now, sender, message)
		address = sender.GossipAddress
	}
	m.dispatch(now, address, message, senderNeedsSelf, &out)
	return out
}

func (m *Machine) dispatch(now time.Time, address string, message *peerpb.Gossip, senderNeedsSelf bool, out *Actions) {
	switch message.Kind {
	case peerpb.Gossip_PING:
		m.sendAck(address, message, senderNeedsSelf, out)
	case peerpb.Gossip_PING_REQUEST:
		m.startRelay(now, address, message, out)
	case peerpb.Gossip_ACK:
		m.receiveAck(message, out)
	case peerpb.Gossip_NACK:
		if m.probe != nil && m.probe.sequence == message.Sequence {
			m.probe.nacks++
		}
	case peerpb.Gossip_SYNC:
		m.sendPage(address, message, out)
	case peerpb.Gossip_SYNC_PAGE:
		m.receivePage(now, message)
	}
}

func (m *Machine) sendAck(address string, ping *peerpb.Gossip, senderNeedsSelf bool, out *Actions) {
	ack := m.message(peerpb.Gossip_ACK, ping.Sequence)
	sender, known := m.members[ping.From]
	if senderNeedsSelf || !known {
		m.sendWithSelf(out, address, ping.From, ack)
		return
	}
	m.sendTo(out, sender, ack)
}

func (m *Machine) startRelay(now time.Time, address string, request *peerpb.Gossip, out *Actions) {
	target, known := m.members[request.Target]
	if !known || len(m.relays) >= maxRelays {
		return
	}
	r := &relay{
		origin:         request.From,
		address:        address,
		originSequence: request.Sequence,
		sequence:       m.nextSequence(),
		target:         target.Name,
		nackDueAt:      now.Add(m.directTimeout(target)),
		expiresAt:      now.Add(2 * m.options.ProbeInterval),
	}
	m.relays = append(m.relays, r)
	m.sendTo(out, target, m.message(peerpb.Gossip_PING, r.sequence))
}

func (m *Machine) receiveAck(ack *peerpb.Gossip, out *Actions) {
	if m.probe != nil && m.probe.sequence == ack.Sequence {
		m.probe = nil
		m.adjustAwareness(-1)
		return
	}
	i := slices.IndexFunc(m.relays, func(r *relay) bool {
		return r.sequence == ack.Sequence && r.target == ack.From
	})
	if i < 0 {
		return
	}
	r := m.relays[i]
	m.relays = slices.Delete(m.relays, i, i+1)
	forward := m.message(peerpb.Gossip_ACK, r.originSequence)
	forward.Target = r.target
	m.send(out, r.address, r.origin, forward)
}

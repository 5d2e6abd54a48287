package membership

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Receive takes a message that arrived from address. The caller has checked that it comes from
// a node of the fleet.
func (m *Machine) Receive(now time.Time, address string, message *peerpb.Gossip) Actions {
	var out Actions
	if message.From == "" || message.From == m.self.Name {
		return out
	}
	introduce := false
	for _, u := range message.Updates {
		// A sender that introduces itself may not know this node, and one that reports an
		// older state of this node missed the refutation. Both need this node's own state.
		introduce = introduce || u.Name == message.From || u.Name == m.self.Name
		m.merge(now, u, &out)
	}
	sender, known := m.members[message.From]
	if known {
		m.noteVersion(sender, message.ConfigVersion, &out)
		m.noteDigest(now, sender, message)
		address = sender.GossipAddress
	}
	m.answer(now, address, message, introduce, &out)
	return out
}

func (m *Machine) answer(now time.Time, address string, message *peerpb.Gossip, introduce bool, out *Actions) {
	switch message.Kind {
	case peerpb.Gossip_PING:
		m.reply(address, message, introduce, out)
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

func (m *Machine) reply(address string, ping *peerpb.Gossip, introduce bool, out *Actions) {
	ack := m.message(peerpb.Gossip_ACK, ping.Sequence)
	sender, known := m.members[ping.From]
	if introduce || !known {
		m.introduce(out, address, ping.From, ack)
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
		nackAt:         now.Add(m.timeout(target)),
		end:            now.Add(2 * m.o.ProbeInterval),
	}
	m.relays = append(m.relays, r)
	m.sendTo(out, target, m.message(peerpb.Gossip_PING, r.sequence))
}

func (m *Machine) receiveAck(ack *peerpb.Gossip, out *Actions) {
	if m.probe != nil && m.probe.sequence == ack.Sequence {
		m.probe = nil
		m.aware(-1)
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

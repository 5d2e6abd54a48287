package peer

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Layout of a datagram: version (1 byte), key id (4), time of sending in Unix milliseconds (8),
// nonce (8), front of the HMAC-SHA256 (16), message. Numbers are big-endian. The code also
// covers the receiver's address, so that a datagram is valid for one node only.
const (
	datagramVersion = 1
	offsetKey       = 1
	offsetSent      = offsetKey + 4
	offsetNonce     = offsetSent + 8
	offsetMAC       = offsetNonce + nonceBytes
	macBytes        = 16
	headerBytes     = offsetMAC + macBytes
	// MaxDatagramBytes keeps a datagram within one Ethernet frame.
	MaxDatagramBytes = 1400
	// MaxMessageBytes is the longest encoded message.
	MaxMessageBytes = MaxDatagramBytes - headerBytes
)

// Reasons for which datagrams are dropped.
const (
	dropSize      = "size"
	dropSignature = "signature"
	dropReplay    = "replay"
	dropMalformed = "malformed"
	dropSend      = "send"
)

// codec encodes and decodes the datagrams of one node.
type codec struct {
	keyring *Keyring
	// ownAddress is this node's address as others send to it.
	ownAddress string
	now        func() time.Time
	replay     replayCheck
}

// encode returns the datagram for the node at address to.
func (c *codec) encode(to string, message *peerpb.Gossip) ([]byte, error) {
	data := make([]byte, headerBytes, MaxDatagramBytes)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "gossip message does not encode")
	}
	if len(data) > MaxDatagramBytes {
		return nil, fault.New(fault.Internal, "gossip message has %d bytes; the bound is %d", len(data)-headerBytes, MaxMessageBytes)
	}
	data[0] = datagramVersion
	c.writeHeader(to, data)
	return data, nil
}

// writeHeader fills in the header of a datagram whose version and message are set.
func (c *codec) writeHeader(to string, data []byte) {
	n := newNonce()
	binary.BigEndian.PutUint64(data[offsetSent:], uint64(c.now().UnixMilli()))
	copy(data[offsetNonce:offsetMAC], n[:])
	id, code := c.keyring.sign(datagramMACInput(to, data)...)
	binary.BigEndian.PutUint32(data[offsetKey:], id)
	copy(data[offsetMAC:headerBytes], code)
}

// decode returns the message of a datagram, or the reason why it is dropped. The message is
// parsed only after its code is verified.
func (c *codec) decode(data []byte) (message *peerpb.Gossip, reason string) {
	if len(data) < headerBytes || len(data) > MaxDatagramBytes || data[0] != datagramVersion {
		return nil, dropSize
	}
	id := binary.BigEndian.Uint32(data[offsetKey:])
	if !c.keyring.verify(id, data[offsetMAC:headerBytes], datagramMACInput(c.ownAddress, data)...) {
		return nil, dropSignature
	}
	var n nonce
	copy(n[:], data[offsetNonce:offsetMAC])
	sent := time.UnixMilli(int64(binary.BigEndian.Uint64(data[offsetSent:])))
	if !c.replay.accept(c.now(), sent, n) {
		return nil, dropReplay
	}
	message = &peerpb.Gossip{}
	if proto.Unmarshal(data[headerBytes:], message) != nil {
		return nil, dropMalformed
	}
	return message, ""
}

// datagramMACInput are what the code covers. The key id needs no cover: a wrong one selects a key
// that does not verify.
func datagramMACInput(to string, data []byte) [][]byte {
	return [][]byte{labelDatagram, []byte(to), data[:offsetKey], data[offsetSent:offsetMAC], data[headerBytes:]}
}

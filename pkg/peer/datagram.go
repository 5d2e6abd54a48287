package peer

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Layout of a datagram: version (1 byte), key id (4), send time in Unix milliseconds (8), nonce (8),
// HMAC-SHA256 truncated to 16 bytes, message. Numbers are big-endian. The HMAC also covers the
// receiver's address, so that a datagram is valid for one node only.
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
	// MaxMessageBytes is the size of the longest encoded message.
	MaxMessageBytes = MaxDatagramBytes - headerBytes
)

// Reasons for dropping datagrams.
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
	// ownAddress is the address to which other nodes send datagrams for this node.
	ownAddress string
	now        func() time.Time
	replay     replayCheck
}

// encode returns the datagram for the node at address to.
func (c *codec) encode(to string, message *peerpb.Gossip) ([]byte, error) {
	data := make([]byte, headerBytes, MaxDatagramBytes)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode gossip message")
	}
	if len(data) > MaxDatagramBytes {
		return nil, fault.New(fault.Internal, "gossip message has %d bytes; the limit is %d", len(data)-headerBytes, MaxMessageBytes)
	}
	data[0] = datagramVersion
	c.writeHeader(to, data)
	return data, nil
}

// writeHeader writes the header of a datagram whose version and message are set.
func (c *codec) writeHeader(to string, data []byte) {
	n := newNonce()
	binary.BigEndian.PutUint64(data[offsetSent:], uint64(c.now().UnixMilli()))
	copy(data[offsetNonce:offsetMAC], n[:])
	id, mac := c.keyring.sign(datagramMACInput(to, data)...)
	binary.BigEndian.PutUint32(data[offsetKey:], id)
	copy(data[offsetMAC:headerBytes], mac)
}

// decode returns the message of a datagram, or the reason for dropping it. The message is parsed
// only after its HMAC is verified.
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

// datagramMACInput returns the parts of a datagram that its HMAC covers. The key id is not covered,
// because a wrong id selects a key with which the HMAC does not verify.
func datagramMACInput(to string, data []byte) [][]byte {
	return [][]byte{labelDatagram, []byte(to), data[:offsetKey], data[offsetSent:offsetMAC], data[headerBytes:]}
}

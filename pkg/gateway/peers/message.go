// Package peers exchanges small datagrams between nodes: every node reports its running requests to the
// leader, the node that holds the lease, and the leader sends all nodes a heartbeat with the sums and its
// assignments. A node that gets heartbeats from a leader in sync with the platform's store is a follower: it
// gets store changes from the leader, or from a standby while the leader is silent, instead of watching the
// store. Nodes whose mirrors lag fetch the objects from each other over HTTP. Without a leader, requests are
// still served, with less accurate loads.
package peers

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
)

// Version is the version of a model's weights that an engine has and that its listing may lack.
type Version struct {
	Backend string
	Model   string
	Version int
}

// message is one datagram. It is encoded as an array, so the order, number and types of its fields are the
// format.
type message struct {
	// From is the sender's peer address.
	From string
	// Leader is set if the sender acts as the leader; Heartbeat is then in use. Otherwise Loads is.
	Leader bool
	// ReplyRequested requests a message in return, and IsReply marks that message. Synced is set in a reply if
	// the sender is in sync with the platform's store.
	ReplyRequested, IsReply, Synced bool
	// Revisions are those of the sender's mirrors, by kind.
	Revisions []Revision
	Loads     []backends.Load
	// PrefixUpdates are encoded entries of a cachemap.
	PrefixUpdates []byte
	Heartbeat     Heartbeat
	// Peers are the peer addresses of some nodes.
	Peers []string
	// States are encoded states of backend servers, in messages of the leader.
	States []byte
	// Contents are the whole content of the leader's mirrors of few small objects, so that the nodes need not
	// fetch them.
	Contents []KindContent
	// Counts are the encoded counts of a report's node by prefix, and Frequent the leader's encoded rates of
	// frequent prefixes; see package popularity.
	Counts, Frequent []byte
	// IsUpdate marks a message of the leader between two heartbeats, with changed States only. IsReply is set
	// as well, because nodes of earlier versions then ignore its content.
	IsUpdate bool
	// SentAt is the timestamp of a report, or 0 in reports of earlier versions.
	SentAt int64
	// Evidence is the encoded evidence about prompt parts on which engines crash; see package quarantine.
	Evidence []byte
	// Quota is the encoded quota.Report of a report's node.
	Quota []byte
	// Speeds are the encoded samples of a report's node, or the factors in a heartbeat; see package speed.
	Speeds []byte

	// echo follows the message in the datagram, because it differs between the receivers of a message. It is zero
	// in reports and in messages of earlier versions.
	echo echo
}

// Heartbeat is what the leader sends to all nodes. It is encoded as an array, like message.
type Heartbeat struct {
	// Nodes is the number of nodes that report to the leader, including the leader.
	Nodes int
	// Assignments are keyed by the IDs of the backend servers. Only leaders of earlier versions send them, in
	// place of message.States.
	Assignments map[string]backends.Assignment
	// Versions are those that message.States cannot hold.
	Versions []Version
	// Lease is the leader's lease in stored form, and LeaseVersion its version in the store.
	Lease        []byte
	LeaseVersion uint64
	// Synced is set if the leader is in sync with the platform's store.
	Synced bool
	// CacheEpoch is no longer used. Nodes of earlier versions expect the field.
	CacheEpoch int64
	// Standbys are the peer addresses of the nodes that stay in sync with the store for the others while the
	// leader is silent.
	Standbys []string
	// StoreEpochs are the epochs of the KV cache stores.
	StoreEpochs []cachemap.StoreEpoch
	// NodesSettled is set if the leader has counted nodes for long enough that Nodes is not too low.
	NodesSettled bool
}

// KindContent is the content of the mirror of one kind.
type KindContent struct {
	Kind    string
	Content mirror.Content
}

// Revision is the revision of the newest change in a node's mirror of one kind.
type Revision struct {
	Kind     string
	Revision int64
	// AgeMS is the time in milliseconds since the mirror is known to have held all changes, or UnknownAge. Nodes of
	// earlier versions send none.
	AgeMS int64
}

// UnknownAge is the Revision.AgeMS of a mirror that is not known to have held all changes.
const UnknownAge = -1

// sameRevisions reports whether two lists differ in their ages only.
func sameRevisions(a, b []Revision) bool {
	return slices.EqualFunc(a, b, func(x, y Revision) bool { return x.Kind == y.Kind && x.Revision == y.Revision })
}

// encode writes structs as arrays, because the names of fields would make up most of a datagram.
func encode(m *message) ([]byte, error) { return appendEncoded(nil, m) }

// appendEncoded appends an encoded message or echo to a datagram.
func appendEncoded(datagram []byte, value any) ([]byte, error) {
	data := bytes.NewBuffer(datagram)
	e := msgpack.NewEncoder(data)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(value); err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return data.Bytes(), nil
}

func decode(data []byte) (*message, error) {
	var m message
	// A datagram holds a message and an echo.
	if err := checkLengths(data, 2); err != nil {
		return nil, fmt.Errorf("decode peer message of %d bytes: %w", len(data), err)
	}
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("decode peer message of %d bytes: %w", len(data), err)
	}
	if err := d.Decode(&m.echo); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("decode echo after a peer message of %d bytes: %w", len(data), err)
	}
	return &m, nil
}

// Package peers exchanges small reports between nodes by datagrams: every node tells the holder of
// the lease what it runs, and the holder tells all nodes the sum and its assignments. Nodes that find
// themselves behind fetch mirrored objects from each other over HTTP. Losing the holder costs
// accuracy, not availability.
package peers

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// Version is a version of a model's weights that an engine has and its listing may lack.
type Version struct {
	Backend string
	Model   string
	Version int
}

// message is one datagram.
type message struct {
	// From is the sender's peer address.
	From string
	// Holder is set if the sender holds the lease; Word is then in use. Otherwise Loads is.
	Leader bool
	// Reply asks the receiver for a message in return, and Answer marks that message. Fresh is set in it if
	// the sender follows the platform's store closely.
	ReplyRequested, IsReply, Synced bool
	// Revisions are those of the sender's mirrors, by kind.
	Revisions []Revision
	Loads     []backends.Load
	// Prefixes are encoded entries of a cachemap.
	PrefixUpdates []byte
	Heartbeat     Heartbeat
	// Peers are addresses of some nodes.
	Peers []string
}

// Word is what the holder of the lease tells all nodes.
type Heartbeat struct {
	// Nodes is the number of nodes that report to the holder, with itself.
	Nodes int
	// Assignments are by the IDs of the backend servers.
	Assignments map[string]backends.Assignment
	Versions    []Version
	// Lease is the holder's lease in stored form, and LeaseVersion its version in the store.
	Lease        []byte
	LeaseVersion uint64
	// Fresh is set if the holder reached the platform's store a moment ago.
	Synced bool
	// CacheEpoch names the present run of the store of kept KV cache; 0 means that it is down.
	CacheEpoch int64
	// Deputies are the nodes that follow the store for the others while the holder is silent.
	Standbys []string
}

// Revision is the newest change that a node's mirror of one kind holds.
type Revision struct {
	Kind     string
	Revision int64
}

// encode writes structs as arrays, because the names of fields would make up most of a datagram.
func encode(m *message) ([]byte, error) {
	var data bytes.Buffer
	e := msgpack.NewEncoder(&data)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(m); err != nil {
		return nil, fmt.Errorf("peer message does not encode: %w", err)
	}
	return data.Bytes(), nil
}

func decode(data []byte) (*message, error) {
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("peer message does not parse: %w", err)
	}
	return &m, nil
}

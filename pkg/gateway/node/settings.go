// Package node assembles a gateway node: listeners, mirrors of the platform's store (local replicas, each of
// one kind of objects), the router, and the controller that rolls out weight versions.
package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/limits"
)

// Settings are the settings of one node process.
type Settings struct {
	// Name is unique among the nodes and stays the same after a restart.
	Name       string
	DataCentre string
	// Address is the IP address of the VM.
	Address string
	// ClientAddress, ReadyAddress and PeerAddress are the IP:PORT to listen at for clients, for readiness
	// checks, and for other nodes. PeerAddress is used for both TCP and UDP.
	ClientAddress, ReadyAddress, PeerAddress string
	// StoreAddress is the IP:PORT of the platform's store.
	StoreAddress string
	// Seeds are the peer addresses of a few other nodes, to join them at start. Some may be unreachable.
	Seeds []string
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or 0 if it is not stated.
	LinkMbps float64
	// MemoryMB is the memory limit of the process in units of 2^20 bytes, or 0 for none.
	MemoryMB float64
	// MaxDescriptors is the limit of the process's open file descriptors, or 0 for none.
	MaxDescriptors int
	// ShutdownGrace is the time from the signal to stop until the platform kills the process.
	ShutdownGrace time.Duration
	// ReconnectGrace is the time that the platform grants a node after a disturbance before its time
	// limits apply again.
	ReconnectGrace time.Duration
	// LeaderChangeGap is the shortest time that must pass between orders of two lease holders.
	LeaderChangeGap time.Duration
	// ChangeDeadline is the time after a change in the store within which all nodes must have applied it.
	ChangeDeadline time.Duration
	// FirstStart is set if all nodes start for the first time, before there are clients.
	FirstStart bool
	// OldVersionLimit is the time after a weight version is set from which no request may start on an
	// older one.
	OldVersionLimit time.Duration
	// RetryBudget bounds the retries of all nodes together.
	RetryBudget forward.RetryBudgetLimits
	// Quotas state how far the use of the workspaces' quotas may exceed them. The zero value means that there are no quotas.
	Quotas limits.QuotaBounds
}

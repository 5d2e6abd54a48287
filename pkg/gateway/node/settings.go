// Package node assembles a gateway node: listeners, mirrors of the platform's store, the router and
// the controller of weights.
package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/forward"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is unique among the nodes; it stays the same over restarts.
	Name       string
	DataCentre string
	// Address is the machine's IP number.
	Address string
	// Front is the address for clients, Ready that for questions whether the node takes new
	// connections, Control that for other nodes, by TCP and UDP.
	ClientAddress, ReadyAddress, PeerAddress string
	// Store is the address of the platform's store.
	StoreAddress string
	// Seeds are the control addresses of a few other nodes. Some may be down.
	Seeds []string
	// LinkMbps is the machine's link in Mbit/s.
	LinkMbps float64
	// MemoryMB is the limit of the process in megabytes, or 0.
	MemoryMB float64
	// Grace is the time from the signal to stop to the kill.
	ShutdownGrace time.Duration
	// Contact is the time for which the platform's rules excuse a node after a disturbance.
	ReconnectGrace time.Duration
	// LeaseGap is the least time between orders of two holders of the lease.
	LeaderChangeGap time.Duration
	// VersionLimit is the time after which no request may begin on older weights.
	OldVersionLimit time.Duration
	RetryBudget     forward.RetryBudgetLimits
}

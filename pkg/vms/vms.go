// Package vms defines the interface to the platform's VM list and its HTTP client.
package vms

import "context"

// Roles of VMs.
const (
	RoleNode    = "node"
	RoleEngine  = "engine"
	RoleService = "service"
)

// State is the state of a VM as reported by the platform.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the VM list. The list is updated with a delay, so it can lack new VMs and contain
// VMs that no longer exist.
type VM struct {
	Name string `json:"name"`
	// Address is the host:port at which the VM's process listens: for gossip on nodes, for HTTP on
	// the others.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is one of the Role constants.
	Role string `json:"role"`
	// Service is the name of the plain service of a VM with RoleService, else empty.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
}

// Lister reads the VM list. Errors are of kind fault.PlatformUnavailable.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

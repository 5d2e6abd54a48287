// Package vms defines the interface to the platform's VM list.
package vms

import "context"

// Roles of VMs.
const (
	RoleNode    = "node"
	RoleEngine  = "engine"
	RoleService = "service"
)

// State is the platform's word about a VM.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the VM list. The list lags behind the platform.
type VM struct {
	Name string `json:"name"`
	// Address is host:port of what the VM runs: gossip for nodes, HTTP for the others.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is one of the Role constants.
	Role string `json:"role"`
	// Service names the plain service of a VM with RoleService.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
}

// Lister reads the VM list. Errors are of kind fault.PlatformUnavailable.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

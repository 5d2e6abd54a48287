// Package settings defines the static settings of one process: its name, addresses, keys and
// platform endpoints. They are read once at start. The configuration that all nodes share is in
// package config.
package settings

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Settings are the static settings of one process.
type Settings struct {
	// Name identifies the node to its peers. Effect: must be unique in the fleet, because leases,
	// claims and membership refer to it. Default: none, required. Unit: none.
	Name string `yaml:"name" required:"true"`
	// DataCentre is the data centre of the node's VM. Effect: engines and peers in the same data
	// centre are preferred. Default: none, required. Unit: none.
	DataCentre string `yaml:"data_centre" required:"true"`
	// Region is the group of data centres that the node belongs to. Effect: shown in status and sent
	// to peers. Default: the value of data_centre. Unit: none.
	Region string `yaml:"region,omitempty"`
	// Callers is the listener for callers' requests. Effect: serves the OpenAI-compatible API and
	// plain services. Default: none, required. Unit: none.
	Callers Listener `yaml:"callers" required:"true"`
	// Peers is the listener for calls from other nodes. Effect: serves the peer RPC. Default: none,
	// required. Unit: none.
	Peers Listener `yaml:"peers" required:"true"`
	// Gossip is the UDP socket for membership. Effect: the node joins the fleet through it.
	// Default: none, required. Unit: none.
	Gossip Gossip `yaml:"gossip" required:"true"`
	// Operators is the listener for operators. Effect: serves health, readiness, metrics, status
	// and the burn report. Default: none, required. Unit: none.
	Operators Listener `yaml:"operators" required:"true"`
	// Seeds are gossip addresses of other nodes. Effect: contacted at start and while the node has
	// no live peer, in addition to the nodes in the VM list. Default: empty. Unit: host:port.
	Seeds []string `yaml:"seeds,omitempty"`
	// Platform holds the URLs of the platform's services. Effect: see its fields. Default: none, required.
	// Unit: none.
	Platform Platform `yaml:"platform" required:"true"`
	// Engines is the source of the list of engines. Effect: see its fields. Default: the VM list.
	// Unit: none.
	Engines Engines `yaml:"engines,omitempty"`
	// PeerKeys are the shared keys that authenticate gossip and peer calls. Effect: the first key
	// signs, each listed key is accepted; list the old and the new key during a rotation. Default:
	// none, one or two are required. Unit: none.
	PeerKeys []Secret `yaml:"peer_keys" required:"true"`
	// DrainBound is the maximum time that a graceful shutdown waits for running requests. Effect:
	// streams that are still running after it end with a typed error. Default: 10m. Unit: duration.
	DrainBound config.Duration `yaml:"drain_bound,omitempty" min:"1s" max:"24h"`
	// DrainNotice is the time for which the node still accepts requests during a graceful shutdown,
	// while its readiness check already fails. Effect: load balancers stop sending requests before
	// the listener closes. Default: 2s. Unit: duration.
	DrainNotice config.Duration `yaml:"drain_notice,omitempty" min:"0s" max:"10m"`
	// ClientMemoryMB bounds the memory that the connections of callers, operators and peers hold with the heads and bodies of their
	// requests and the system's buffers; an eighth more is for large buffers. Effect: beyond it, the connection that holds most is
	// closed, or a request is refused with 503. Default: 256, which is enough for about 1,700 running requests. Unit: 2^20 bytes.
	ClientMemoryMB int `yaml:"client_memory_mb,omitempty" min:"16" max:"1000000"`
	// MaxConnections is the maximum number of open connections of callers. Effect: beyond it, unfinished requests and idle
	// connections are closed, the oldest first. Default: half of the process's limit of open files. Unit: connections.
	MaxConnections int `yaml:"max_connections,omitempty" min:"16" max:"1000000"`
	// LogLevel is the minimum severity of log records. Effect: less severe records are dropped.
	// Default: info. Unit: none.
	LogLevel string `yaml:"log_level,omitempty" oneof:"debug,info,warn,error"`
}

// Listener is a TCP listener.
type Listener struct {
	// Address is the address that the listener binds. Effect: port 0 picks a free port. Default: none,
	// required. Unit: host:port.
	Address string `yaml:"address" required:"true"`
	// Advertise is the address that others use to reach the listener. Effect: set it when the bind
	// address is a wildcard. Default: the bound address. Unit: host:port.
	Advertise string `yaml:"advertise,omitempty"`
	// TLS is the TLS configuration of the listener. Effect: see its fields. Default: no TLS. Unit: none.
	TLS TLS `yaml:"tls,omitempty"`
}

// Gossip is the UDP socket for membership.
type Gossip struct {
	// Address is the address that the socket binds. Effect: port 0 picks a free port. Default: none,
	// required. Unit: host:port.
	Address string `yaml:"address" required:"true"`
	// Advertise is the address that peers use to reach the socket. Effect: set it when the bind
	// address is a wildcard. Default: the bound address. Unit: host:port.
	Advertise string `yaml:"advertise,omitempty"`
}

// TLS holds the paths of the certificate files of a listener. Changed files are reloaded without a
// restart.
type TLS struct {
	// CertificateFile is the certificate chain in PEM. Effect: turns TLS on. Default: none. Unit:
	// path.
	CertificateFile string `yaml:"certificate_file,omitempty"`
	// KeyFile is the private key in PEM. Effect: must match certificate_file. Default: none. Unit:
	// path.
	KeyFile string `yaml:"key_file,omitempty"`
	// CAFile holds the certificate authorities in PEM that may sign client certificates. Effect:
	// turns mutual TLS on. Default: none. Unit: path.
	CAFile string `yaml:"ca_file,omitempty"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Platform holds the URLs of the platform's services.
type Platform struct {
	// Objects is the URL of the object API. Effect: stores configuration, leases and claims. Default: none,
	// required. Unit: URL.
	Objects string `yaml:"objects" required:"true"`
	// VMs is the URL of the VM list. Effect: nodes and engines, live or leaving, are discovered from
	// it. Default: none, then seeds and the static engine list are used. Unit: URL.
	VMs string `yaml:"vms,omitempty"`
	// Weights is the URL of the weight store. Effect: engines are ordered to load weights from it.
	// Default: none, then rollouts are refused. Unit: URL.
	Weights string `yaml:"weights,omitempty"`
}

// Engines configures the source of the list of engines.
type Engines struct {
	// VMRole is the role of engine VMs in the VM list. Effect: VMs with this role are used as
	// engines. Default: engine. Unit: none.
	VMRole string `yaml:"vm_role,omitempty"`
	// Static lists engines by address. Effect: replaces discovery from the VM list. Default: empty.
	// Unit: none.
	Static []StaticEngine `yaml:"static,omitempty"`
}

// StaticEngine is an engine with a fixed address, which is not discovered from the VM list.
type StaticEngine struct {
	// ID identifies the engine in status and logs. Effect: must be unique. Default: none, required.
	// Unit: none.
	ID string `yaml:"id" required:"true"`
	// Address is the engine's HTTP endpoint. Effect: requests go there. Default: none, required.
	// Unit: host:port.
	Address string `yaml:"address" required:"true"`
	// DataCentre is the engine's data centre. Effect: nodes in it own the engine. Default: the
	// node's data centre. Unit: none.
	DataCentre string `yaml:"data_centre,omitempty"`
}

// Secret refers to a secret in a file or an environment variable, so that the settings file never
// contains the secret itself.
type Secret struct {
	// File is a file that contains the secret. Effect: leading and trailing white space is removed.
	// Default: none; set file or env. Unit: path.
	File string `yaml:"file,omitempty"`
	// Env is an environment variable that contains the secret. Effect: read once at start. Default:
	// none; set file or env. Unit: variable name.
	Env string `yaml:"env,omitempty"`
}

// Default values of fields that are not set in a settings file.
const (
	DefaultDrainBound  = 10 * time.Minute
	DefaultDrainNotice = 2 * time.Second
	DefaultLogLevel    = "info"
	DefaultVMRole      = "engine"
	// DefaultClientMemoryMB is in units of 2^20 bytes.
	DefaultClientMemoryMB = 256
)

func (s *Settings) setDefaults() {
	if s.Region == "" {
		s.Region = s.DataCentre
	}
	if s.DrainBound == 0 {
		s.DrainBound = config.Duration(DefaultDrainBound)
	}
	if s.DrainNotice == 0 {
		s.DrainNotice = config.Duration(DefaultDrainNotice)
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.ClientMemoryMB == 0 {
		s.ClientMemoryMB = DefaultClientMemoryMB
	}
	if s.Engines.VMRole == "" {
		s.Engines.VMRole = DefaultVMRole
	}
	for i := range s.Engines.Static {
		if s.Engines.Static[i].DataCentre == "" {
			s.Engines.Static[i].DataCentre = s.DataCentre
		}
	}
}

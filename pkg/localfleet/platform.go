package localfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"cassiawall.example/cassiawall/pkg/config"
	objectstandin "cassiawall.example/cassiawall/pkg/standin/objects"
	servicestandin "cassiawall.example/cassiawall/pkg/standin/service"
	vmstandin "cassiawall.example/cassiawall/pkg/standin/vms"
	weightstandin "cassiawall.example/cassiawall/pkg/standin/weights"
	"cassiawall.example/cassiawall/pkg/vms"
)

// serversPerService is the number of backend servers that are started for each plain service.
const serversPerService = 3

// Platform holds the stand-ins of the platform: the object API, the VM list, the weight store and the
// backend servers of plain services.
type Platform struct {
	Objects *objectstandin.Store
	VMs     *vmstandin.List
	Weights *weightstandin.Store
	// Ledgers count the requests that backend servers ran, by service name.
	Ledgers map[string]*servicestandin.Ledger
	// BackendServers are the backend servers by service name.
	BackendServers map[string][]*servicestandin.Server

	objectsURL string
	vmsURL     string
	weightsURL string
	listedVMs  []vms.VM
	servers    []*http.Server
}

// startPlatform starts the object API, the VM list, the weight store and the backend servers of the
// services in c.
func startPlatform(c *config.Config, dataCentres []string, seed uint64) (*Platform, error) {
	p := &Platform{Objects: objectstandin.NewStore(seed), VMs: vmstandin.New(nil), Weights: weightstandin.New(),
		Ledgers: map[string]*servicestandin.Ledger{}, BackendServers: map[string][]*servicestandin.Server{}}
	var err error
	if p.objectsURL, err = p.serve(objectstandin.Handler(p.Objects)); err != nil {
		return nil, err
	}
	if p.vmsURL, err = p.serve(vmstandin.Handler(p.VMs)); err != nil {
		return nil, errors.Join(err, p.close())
	}
	if p.weightsURL, err = p.serve(weightstandin.Handler(p.Weights)); err != nil {
		return nil, errors.Join(err, p.close())
	}
	for i := range c.Services {
		if err := p.startService(c.Services[i].Name, dataCentres, seed); err != nil {
			return nil, errors.Join(err, p.close())
		}
	}
	return p, nil
}

func (p *Platform) startService(name string, dataCentres []string, seed uint64) error {
	ledger := servicestandin.NewLedger()
	p.Ledgers[name] = ledger
	for i := range serversPerService {
		server := servicestandin.New(ledger, seed+uint64(i))
		url, err := p.serve(server)
		if err != nil {
			return err
		}
		p.BackendServers[name] = append(p.BackendServers[name], server)
		p.listedVMs = append(p.listedVMs, vms.VM{Name: fmt.Sprintf("%s-%d", name, i+1), Address: hostPort(url), Role: vms.RoleService,
			Service: name, State: vms.Live, DataCentre: dataCentres[i%len(dataCentres)]})
	}
	return nil
}

func (p *Platform) serve(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, server)
	// Serve returns an error when Platform.close closes the server.
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// publish adds VMs to the VM list.
func (p *Platform) publish(list ...vms.VM) {
	p.listedVMs = append(p.listedVMs, list...)
	p.VMs.Set(p.listedVMs)
}

// SetObjectsDown starts or ends an outage of the object API.
func (p *Platform) SetObjectsDown(down bool) {
	faults := p.Objects.Faults()
	faults.Outage = down
	p.Objects.SetFaults(faults)
}

func (p *Platform) close() error {
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// createConfig stores document as the first version of the configuration.
func (p *Platform) createConfig(ctx context.Context, document []byte) error {
	_, err := p.Objects.Put(ctx, configObjectName, document, 0)
	return err
}

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }

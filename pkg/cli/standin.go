package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	objectstandin "cassiawall.example/cassiawall/pkg/standin/objects"
	servicestandin "cassiawall.example/cassiawall/pkg/standin/service"
	vmstandin "cassiawall.example/cassiawall/pkg/standin/vms"
	weightstandin "cassiawall.example/cassiawall/pkg/standin/weights"
	"cassiawall.example/cassiawall/pkg/vms"
)

func standinSpec(s streams) commandSpec {
	return commandSpec{
		name: "standin", short: "Run a stand-in of the platform", long: "Run a stand-in of one part of the platform for trials on one machine.",
		data: &struct{}{},
		subcommands: []commandSpec{
			{
				name: "engine", short: "Run a stand-in for a model engine",
				long: "Run a stand-in for a model engine: batching, a prefix cache, events and orders, without a model.\n\n" +
					"Example: cassiawall standin engine --listen 127.0.0.1:9100 --id engine-1 --model lugha",
				data: &standinEngineCommand{streams: s},
			},
			{
				name: "objects", short: "Run a stand-in for the object API",
				long: "Run a stand-in for the object API with versions, conditional updates and watches, in memory.\n\n" +
					"Example: cassiawall standin objects --listen 127.0.0.1:9000",
				data: &standinObjectsCommand{streams: s},
			},
			{
				name: "vms", short: "Run a stand-in for the VM list",
				long: "Run a stand-in for the VM list. POST /admin/vms replaces the list.\n\n" +
					"Example: cassiawall standin vms --listen 127.0.0.1:9001 --list vms.json",
				data: &standinVMsCommand{streams: s},
			},
			{
				name: "weights", short: "Run a stand-in for the weight store",
				long: "Run a stand-in for the weight store, which has every version and limits its rate.\n\n" +
					"Example: cassiawall standin weights --listen 127.0.0.1:9002 --fetches-per-second 5",
				data: &standinWeightsCommand{streams: s},
			},
			{
				name: "service", short: "Run a stand-in for a backend server",
				long: "Run a stand-in for a backend server of a plain service. GET /admin/runs tells how often each request ran.\n\n" +
					"Example: cassiawall standin service --listen 127.0.0.1:9200",
				data: &standinServiceCommand{streams: s},
			},
		},
	}
}

type standinEngineCommand struct {
	Listen      string `long:"listen" description:"Address to listen on" default:"127.0.0.1:9100"`
	ID          string `long:"id" description:"Name of the engine" default:"engine-1"`
	Model       string `long:"model" description:"Model that the engine serves at start" default:"model"`
	Weights     string `long:"weights-version" description:"Version that the engine serves at start" default:"v1"`
	CacheBlocks int    `long:"cache-blocks" description:"Prompt pieces that the cache holds" default:"64"`
	MaxBatch    int    `long:"max-batch" description:"Requests that run at once" default:"16"`
	Seed        uint64 `long:"seed" description:"Seed of incarnation names and lost events" default:"1"`
	IgnoreFence bool   `long:"ignore-fencing" description:"Follow orders with old fencing numbers"`
	streams     streams
}

// Execute runs the stand-in until it is interrupted.
func (c *standinEngineCommand) Execute([]string) error {
	e := enginestandin.New(enginestandin.Config{
		ID: c.ID, Model: c.Model, WeightsVersion: c.Weights, CacheBlocks: c.CacheBlocks, MaxBatch: c.MaxBatch, Seed: c.Seed, IgnoreFencing: c.IgnoreFence,
	})
	if err := e.StartOn(c.Listen); err != nil {
		return errors.Join(fault.Wrap(err, fault.BadRequest, "cannot listen on %s", c.Listen), e.Close())
	}
	fmt.Fprintf(c.streams.out, "engine %s listens on %s\n", e.ID(), e.URL())
	ctx, stop := signalContext()
	defer stop()
	<-ctx.Done()
	return e.Close()
}

type standinObjectsCommand struct {
	Listen  string  `long:"listen" description:"Address to listen on" default:"127.0.0.1:9000"`
	Seed    uint64  `long:"seed" description:"Seed of random faults" default:"1"`
	Writes  float64 `long:"writes-per-second" description:"Rate of writes over which calls are refused; 0 means no limit" default:"0"`
	Reads   float64 `long:"reads-per-second" description:"Rate of reads over which calls are refused; 0 means no limit" default:"0"`
	streams streams
}

// Execute runs the stand-in until it is interrupted.
func (c *standinObjectsCommand) Execute([]string) error {
	store := objectstandin.NewStore(c.Seed)
	faults := store.Faults()
	faults.WritesPerSecond, faults.ReadsPerSecond = c.Writes, c.Reads
	store.SetFaults(faults)
	return serveStandin(c.streams, "object API", c.Listen, objectstandin.Handler(store))
}

type standinVMsCommand struct {
	Listen  string        `long:"listen" description:"Address to listen on" default:"127.0.0.1:9001"`
	List    string        `long:"list" value-name:"FILE" description:"VMs at the start, as a JSON list of name, address, data_centre, role, service and state"`
	Lag     time.Duration `long:"lag" description:"Age of the state that answers show" default:"0s"`
	streams streams
}

// Execute runs the stand-in until it is interrupted.
func (c *standinVMsCommand) Execute([]string) error {
	var list []vms.VM
	if c.List != "" {
		text, err := os.ReadFile(c.List)
		if err != nil {
			return fault.Wrap(err, fault.BadRequest, "cannot read the list of VMs")
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&list); err != nil {
			return fault.Wrap(err, fault.BadRequest, "%s is not a JSON list of VMs", c.List)
		}
	}
	store := vmstandin.New(list)
	store.SetFaults(vmstandin.Faults{Lag: c.Lag})
	return serveStandin(c.streams, "VM list", c.Listen, vmstandin.Handler(store))
}

type standinWeightsCommand struct {
	Listen  string  `long:"listen" description:"Address to listen on" default:"127.0.0.1:9002"`
	Fetches float64 `long:"fetches-per-second" description:"Rate over which fetches are refused; 0 means no limit" default:"0"`
	streams streams
}

// Execute runs the stand-in until it is interrupted.
func (c *standinWeightsCommand) Execute([]string) error {
	store := weightstandin.New()
	store.SetFaults(weightstandin.Faults{FetchesPerSecond: c.Fetches})
	return serveStandin(c.streams, "weight store", c.Listen, weightstandin.Handler(store))
}

type standinServiceCommand struct {
	Listen  string        `long:"listen" description:"Address to listen on" default:"127.0.0.1:9200"`
	Delay   time.Duration `long:"delay" description:"Time that a request takes" default:"0s"`
	Seed    uint64        `long:"seed" description:"Seed of random faults" default:"1"`
	streams streams
}

// Execute runs the stand-in until it is interrupted.
func (c *standinServiceCommand) Execute([]string) error {
	server := servicestandin.New(servicestandin.NewLedger(), c.Seed)
	server.SetFaults(servicestandin.Faults{ExecutionDelay: c.Delay})
	return serveStandin(c.streams, "backend server", c.Listen, server)
}

// standinHeaderTimeout is the time in which a client must send its request headers.
const standinHeaderTimeout = 10 * time.Second

// serveStandin serves handler on address until the process is interrupted.
func serveStandin(s streams, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot listen on %s", address)
	}
	fmt.Fprintf(s.out, "%s listens on http://%s\n", name, listener.Addr())
	ctx, stop := signalContext()
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

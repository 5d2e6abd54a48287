package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	objectstandin "cassiawall.example/cassiawall/pkg/standin/objects"
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
	ctx, stop := interruptible()
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

// standinHeaderTimeout bounds the reading of a request's headers.
const standinHeaderTimeout = 10 * time.Second

// serveStandin serves handler on address until the process is interrupted.
func serveStandin(s streams, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot listen on %s", address)
	}
	fmt.Fprintf(s.out, "%s listens on http://%s\n", name, listener.Addr())
	ctx, stop := interruptible()
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/demo"
	"cassiawall.example/cassiawall/pkg/fault"
)

type demoCommand struct {
	Requests int    `long:"requests" description:"Stop after this number of requests; 0 runs until Ctrl-C" default:"0"`
	Seed     uint64 `long:"seed" description:"Seed of the workload" default:"1"`
	Config   string `long:"config" description:"Serve this configuration file in place of the demo's own" value-name:"FILE"`
	JSON     bool   `long:"json" description:"Print the report as JSON"`
	Log      bool   `long:"log" description:"Write the nodes' logs to standard error"`
	streams  streams
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	options := demo.Options{Requests: c.Requests, Seed: c.Seed, Logger: slog.New(slog.DiscardHandler)}
	if c.Log {
		options.Logger = slog.New(slog.NewTextHandler(c.streams.err, nil))
	}
	if !c.JSON && !c.Log {
		options.Progress = c.streams.err
	}
	if c.Config != "" {
		document, err := os.ReadFile(c.Config)
		if err != nil {
			return fault.Wrap(err, fault.BadRequest, "cannot read %s", c.Config)
		}
		if options.Config, err = config.Parse(document); err != nil {
			return err
		}
	}
	ctx, stop := signalContext()
	defer stop()
	d, err := demo.Start(ctx, options)
	if err != nil {
		return err
	}
	c.printInstructions(d)
	report := d.Run(ctx)
	if err := d.Close(); err != nil {
		return err
	}
	return c.print(&report)
}

func (c *demoCommand) printInstructions(d *demo.Demo) {
	if c.JSON {
		return
	}
	fmt.Fprintf(c.streams.out, "Three nodes and the platform's stand-ins are running. Send a request:\n\n  %s\n\n"+
		"Slow an engine down, and back with a factor of 1, and watch the error budgets:\n\n  %s\n  cassiawall report burn --node %s\n\n"+
		"Operators' pages (/status, /report/burn, /metrics): %v\nCtrl-C stops.\n\n",
		d.CurlCommand(), d.FaultCommand(), d.OperatorsURLs()[0], d.OperatorsURLs())
}

func (c *demoCommand) print(r *demo.Report) error {
	encoder := json.NewEncoder(c.streams.out)
	if !c.JSON {
		encoder.SetIndent("", "  ")
	}
	if err := encoder.Encode(r); err != nil {
		return err
	}
	if !r.OK() {
		return errors.New("the demo failed: a response was incomplete or had text of another request, or a request ran twice; see errors, crossed and double_runs in the report")
	}
	return nil
}

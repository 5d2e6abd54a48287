package cli

import (
	"errors"
	"log/slog"
	"os"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/bench"
	"cassiawall.example/cassiawall/pkg/fault"
)

func benchSpec(s streams) commandSpec {
	return commandSpec{
		name: "bench", short: "Compare policies under load",
		long: "Run the same load against the system and baseline policies on loopback and compare them.\n\n" +
			"Example: cassiawall bench --profile tuul --duration 40s --report bench.html",
		data: &benchCommand{streams: s},
		subcommands: []commandSpec{{
			name: "scale", short: "Measure slopes over size",
			long: "Measure figures at several sizes, fit a line and state its value at the target size.\n\n" +
				"Example: cassiawall bench scale --json",
			data: &benchScaleCommand{streams: s},
		}},
	}
}

type benchCommand struct {
	Profile  string        `long:"profile" description:"Deployment to model" choice:"kilele" choice:"tuul" default:"kilele"`
	Policy   string        `long:"policy" description:"Policies to compare, separated by commas" default:"cassiawall,round-robin,least-loaded,consistent-hash"`
	Seed     uint64        `long:"seed" description:"Seed of the arrivals" default:"1"`
	Duration time.Duration `long:"duration" description:"Measured time per policy" default:"40s"`
	Load     float64       `long:"load" description:"Factor on the profile's rate of arrivals" default:"1"`
	Nodes    int           `long:"nodes" description:"Number of nodes; 0 means the profile's own" default:"0"`
	Fault    []string      `long:"fault" description:"Add a fault: engine-crash, event-gaps, load-lag, herd-restart or objects-outage; may be repeated or separated by commas"`
	JSON     bool          `long:"json" description:"Print the result as JSON"`
	Report   string        `long:"report" description:"Write a report with plots to this HTML file" value-name:"FILE"`
	streams  streams
}

// Execute runs the benchmark. If it fails, no partial results are printed.
func (c *benchCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	result, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.writeReport(result); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.streams.out, result)
	}
	return bench.WriteTable(c.streams.out, result)
}

func (c *benchCommand) options() (bench.Options, error) {
	profile, err := bench.ProfileByName(c.Profile)
	if err != nil {
		return bench.Options{}, err
	}
	if c.Nodes > 0 {
		profile.Nodes = c.Nodes
	}
	return bench.Options{
		Profile:  profile,
		Policies: splitList([]string{c.Policy}),
		Seed:     c.Seed,
		Duration: c.Duration,
		Load:     c.Load,
		Faults:   splitList(c.Fault),
		Progress: c.streams.err,
		Logger:   slog.New(slog.DiscardHandler),
	}, nil
}

// splitList splits values at commas and drops empty parts.
func splitList(values []string) []string {
	parts := []string{}
	for _, v := range values {
		for _, part := range strings.Split(v, ",") {
			if part = strings.TrimSpace(part); part != "" {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

func (c *benchCommand) writeReport(result bench.Result) error {
	if c.Report == "" {
		return nil
	}
	file, err := os.Create(c.Report)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot write %s", c.Report)
	}
	return errors.Join(bench.WriteReport(file, result), file.Close())
}

type benchScaleCommand struct {
	Role    []string `long:"role" description:"Measure this role only; may be repeated or separated by commas"`
	JSON    bool     `long:"json" description:"Print the result as JSON"`
	streams streams
}

// Execute measures the figures at several sizes and prints the fitted lines.
func (c *benchScaleCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	result, err := bench.RunScale(ctx, splitList(c.Role), c.streams.err)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.streams.out, result)
	}
	return bench.WriteScaleTable(c.streams.out, result)
}

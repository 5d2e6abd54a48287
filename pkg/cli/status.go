package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/status"
)

func statusSpec(s streams) commandSpec {
	return commandSpec{
		name:  "status",
		short: "Show the fleet as one node sees it",
		long: "Show nodes, engines, the configuration version in force per node, leases, shares of limits and engines with a doubtful owner, as one node sees them.\n\n" +
			"Example: cassiawall status --node http://127.0.0.1:8083 --watch",
		data: &statusCommand{streams: s},
	}
}

type statusCommand struct {
	nodeOptions
	JSON     bool          `long:"json" description:"Print JSON"`
	Watch    bool          `long:"watch" description:"Print again at each interval until interrupted; with --json one document a line"`
	Interval time.Duration `long:"interval" description:"Time between prints with --watch" default:"2s"`
	streams  streams
}

// statusTimeout bounds one status call. The node answers from its own memory, without calls to other
// nodes.
const statusTimeout = 10 * time.Second

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	if !c.Watch {
		return c.show(ctx)
	}
	return c.watch(ctx)
}

// watch prints the status at each interval until ctx ends. A failed call is printed and retried,
// because operators often watch a node while it restarts.
func (c *statusCommand) watch(ctx context.Context) error {
	for {
		if err := c.show(ctx); err != nil && ctx.Err() == nil {
			fmt.Fprintln(c.streams.err, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Interval):
		}
	}
}

func (c *statusCommand) show(ctx context.Context) error {
	var d status.Document
	if err := c.getJSON(ctx, status.Path, statusTimeout, &d); err != nil {
		return err
	}
	switch {
	case c.JSON && c.Watch:
		return json.NewEncoder(c.streams.out).Encode(d)
	case c.JSON:
		return printJSON(c.streams.out, d)
	}
	if c.Watch {
		// Moves the cursor to the top left corner and clears the terminal.
		fmt.Fprint(c.streams.out, "\x1b[H\x1b[2J")
	}
	return d.Text(c.streams.out)
}

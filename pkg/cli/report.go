package cli

import (
	"fmt"
	"os"
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/report"
)

func reportSpec(s streams) commandSpec {
	return commandSpec{
		name: "report", short: "Print reports", long: "Print reports over the fleet.",
		data: &struct{}{},
		subcommands: []commandSpec{{
			name:  "burn",
			short: "Report error budgets and burn rates",
			long: "Report the error budgets of all workspaces, how fast they are used, and why. The node collects the figures from all nodes at a bounded rate, " +
				"which takes some minutes in a fleet of hundreds.\n\n" +
				"Example: cassiawall report burn --node http://127.0.0.1:8083 --html burn.html",
			data: &reportBurnCommand{streams: s},
		}},
	}
}

type reportBurnCommand struct {
	nodeOptions
	JSON    bool   `long:"json" description:"Print JSON"`
	HTML    string `long:"html" value-name:"FILE" description:"Write a page with plots to FILE"`
	streams streams
}

// collectTimeout bounds the collection of a report. Sketches of 4 KB from 400 nodes at 4 KB/s take
// about 7 minutes; the rest is for calls to nodes that do not answer.
const collectTimeout = 15 * time.Minute

// Execute gets the report from the node and prints it or writes it as HTML.
func (c *reportBurnCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var r burn.Report
	if err := c.getJSON(ctx, report.PathJSON, collectTimeout, &r); err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeHTML(c.HTML, r); err != nil {
			return err
		}
		fmt.Fprintln(c.streams.err, "report written to", c.HTML)
	}
	if c.JSON {
		return report.JSON(c.streams.out, r)
	}
	if c.HTML != "" {
		return nil
	}
	return report.Text(c.streams.out, r)
}

// writeHTML writes the report page and overwrites an existing file.
func writeHTML(path string, r burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot create %s", path)
	}
	if err := report.HTML(file, r); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

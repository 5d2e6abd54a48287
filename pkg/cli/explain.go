package cli

import (
	"fmt"
	"os"

	"cassiawall.example/cassiawall/pkg/explain"
	"cassiawall.example/cassiawall/pkg/fault"
)

func explainSpec(s streams) commandSpec {
	return commandSpec{
		name: "explain", short: "Show the log lines of one request from the logs of several nodes",
		long: "Read the logs of several nodes, print the lines of one request in the order of time, and before each the state that its node had recorded by then (configuration, weights, lease and the like), as 'believed since' with its age. Differences between the clocks of the nodes are corrected by means of the changes of the platform's store that all of them logged.\n\n" +
			"Example: cassiawall explain --request 9c41d07be2a35f68 node-1.log node-2.log",
		data: &explainCommand{streams: s},
	}
}

type explainCommand struct {
	Request string `long:"request" value-name:"ID" description:"The request's id" required:"true"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	streams streams
}

// Execute prints the timeline of the request.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return fault.New(fault.BadRequest, "cannot open the log file: %v", err)
		}
		read, err := explain.Read(f, name)
		f.Close()
		if err != nil {
			return fault.New(fault.BadRequest, "cannot read the log file %s: %v", name, err)
		}
		lines = append(lines, read...)
	}
	timeline := explain.Timeline(lines, c.Request)
	if timeline == "" {
		return fault.New(fault.NotFound, "no log line of request %s in these files; successful requests are sampled, and only one in 64 of them is logged", c.Request)
	}
	_, err := fmt.Fprint(c.streams.out, timeline)
	return err
}

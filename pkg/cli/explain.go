package cli

import (
	"fmt"
	"os"

	"cassiawall.example/cassiawall/pkg/explain"
	"cassiawall.example/cassiawall/pkg/fault"
)

func explainSpec(s streams) commandSpec {
	return commandSpec{
		name: "explain", short: "Tell the story of one request from the logs of nodes",
		long: "Read the logs of several nodes, print the lines of one request in the order of time, and before each the beliefs of its node that were in force, with their ages. The clocks of the nodes are compared by the changes of the platform's store that all of them logged.\n\n" +
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

// Execute prints the story.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return fault.New(fault.BadRequest, "log file: %v", err)
		}
		read, err := explain.Read(f, name)
		f.Close()
		if err != nil {
			return fault.New(fault.BadRequest, "log file %s: %v", name, err)
		}
		lines = append(lines, read...)
	}
	timeline := explain.Timeline(lines, c.Request)
	if timeline == "" {
		return fault.New(fault.NotFound, "no line of request %s; good requests are sampled, so only one in 64 of them has lines", c.Request)
	}
	_, err := fmt.Fprint(c.streams.out, timeline)
	return err
}

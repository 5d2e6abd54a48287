package cli

import (
	"encoding/json"
	"fmt"
	"runtime"
)

// Version is the release of this source tree.
const Version = "0.1.0"

type versionCommand struct {
	JSON    bool `long:"json" description:"Print JSON"`
	streams streams
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	if c.JSON {
		return json.NewEncoder(c.streams.out).Encode(map[string]string{"version": Version, "go": runtime.Version()})
	}
	_, err := fmt.Fprintf(c.streams.out, "cassiawall %s (%s)\n", Version, runtime.Version())
	return err
}

package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

func checkSpec(s streams) commandSpec {
	return commandSpec{
		name:  "check",
		short: "Check a settings or configuration file",
		long: "Check a settings or configuration file and list every problem with its line, field and remedy. " +
			"Nothing is changed. The exit code is 0 if the file is accepted and 2 if it is refused.\n\n" +
			"Example: cassiawall check --json configuration.yaml",
		data: &checkCommand{streams: s},
	}
}

type checkCommand struct {
	JSON bool `long:"json" description:"Print JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings or configuration in YAML"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// checkResult is the output of check.
type checkResult struct {
	File     string              `json:"file"`
	Kind     string              `json:"kind"`
	OK       bool                `json:"ok"`
	Problems strictyaml.Problems `json:"problems"`
	// Warnings do not make the check fail.
	Warnings []string `json:"warnings"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot read the file")
	}
	result := checkDocument(text)
	result.File = c.Args.File
	if err := c.print(result); err != nil {
		return err
	}
	if !result.OK {
		return fault.New(refusalKind(result.Kind), "%s has %d problems", result.File, len(result.Problems))
	}
	return nil
}

const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
)

func refusalKind(kind string) fault.Kind {
	if kind == kindSettings {
		return fault.InvalidSettings
	}
	return fault.InvalidConfiguration
}

// checkDocument detects the kind of a document and checks it. The kind is the one that defines more of
// the document's top-level fields; in a tie, it is the configuration.
func checkDocument(text []byte) checkResult {
	result := checkResult{Kind: kindConfiguration, Problems: strictyaml.Problems{}, Warnings: []string{}}
	var err error
	if strictyaml.CountKnownFields(text, &settings.Settings{}) > strictyaml.CountKnownFields(text, &config.Config{}) {
		result.Kind = kindSettings
		_, err = settings.Parse(text)
	} else {
		var c *config.Config
		if c, err = config.Parse(text); err == nil {
			result.Warnings = append(result.Warnings, warnings(c)...)
		}
	}
	result.OK = err == nil
	errors.As(err, &result.Problems)
	return result
}

func warnings(c *config.Config) []string {
	var list []string
	if names := auth.WorkspacesWithExampleKeys(c); len(names) > 0 {
		list = append(list, "anybody can use these workspaces, because they accept public example keys: "+strings.Join(names, ", "))
	}
	return list
}

func (c *checkCommand) print(r checkResult) error {
	if c.JSON {
		return printJSON(c.streams.out, r)
	}
	for _, w := range r.Warnings {
		fmt.Fprintf(c.streams.out, "%s: warning: %s\n", r.File, w)
	}
	if r.OK {
		_, err := fmt.Fprintf(c.streams.out, "%s: %s accepted\n", r.File, r.Kind)
		return err
	}
	for _, p := range r.Problems {
		fmt.Fprintf(c.streams.out, "%s:%d: %s: %s\n    remedy: %s\n", r.File, p.Line, p.Field, p.Message, p.Remedy)
	}
	return nil
}

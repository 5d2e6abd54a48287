package cli

import (
	"fmt"
	"io"
	"os"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/questionnaire"
)

func initSpec(s streams) commandSpec {
	return commandSpec{
		name:  "init",
		short: "Generate a configuration from a questionnaire",
		long: "Ask about callers, prompts, models and harms in plain words and write a configuration in which each value names the answer that it came from. " +
			"With --answers the answers are read from a file. New API keys are printed once and only their hashes are stored.\n\n" +
			"Example: cassiawall init --answers examples/kilele/answers.yaml --output configuration.yaml",
		data: &initCommand{streams: s},
	}
}

type initCommand struct {
	Answers     string `long:"answers" value-name:"FILE" description:"Read the answers from FILE instead of asking"`
	Output      string `long:"output" value-name:"FILE" description:"Write the configuration to FILE, which must not exist, instead of standard output"`
	JSON        bool   `long:"json" description:"Print the API keys as JSON"`
	SaveAnswers string `long:"save-answers" value-name:"FILE" description:"Write the answers of a dialogue to FILE, which must not exist"`
	streams     streams
}

// Execute generates the configuration. The API keys go to standard output, or to standard error if
// the configuration is written to standard output.
func (c *initCommand) Execute([]string) error {
	answers, err := c.answers()
	if err != nil {
		return err
	}
	document, keys, err := questionnaire.Generate(answers)
	if err != nil {
		return err
	}
	keyOutput := c.streams.out
	if c.Output == "" {
		keyOutput = c.streams.err
		_, err = c.streams.out.Write(document)
	} else {
		err = writeNewFile(c.Output, document)
	}
	if err != nil {
		return err
	}
	return c.printKeys(keyOutput, keys)
}

func (c *initCommand) answers() (*questionnaire.Answers, error) {
	if c.Answers != "" {
		text, err := os.ReadFile(c.Answers)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "cannot read the answers file")
		}
		return questionnaire.Parse(text)
	}
	answers, file, err := questionnaire.Ask(c.streams.in, c.streams.err)
	if err == nil && c.SaveAnswers != "" {
		err = writeNewFile(c.SaveAnswers, file)
	}
	return answers, err
}

// writeNewFile writes a new file. It fails if the file exists, so that nothing is overwritten.
func writeNewFile(path string, content []byte) error {
	const onlyOwner = 0o600
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, onlyOwner)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot create %s", path)
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (c *initCommand) printKeys(w io.Writer, keys []questionnaire.IssuedKey) error {
	if c.JSON {
		return printJSON(w, keys)
	}
	fmt.Fprintln(w, "API keys, shown only now. Hand each to its workspace:")
	for _, k := range keys {
		if _, err := fmt.Fprintf(w, "  %s: %s\n", k.Workspace, k.Key); err != nil {
			return err
		}
	}
	return nil
}

// Package cli defines the commands of the cassiawall binary.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/hangup"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// streams are the standard input, output and error of a command. Results go to out, diagnostics to
// err.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// Run parses args, runs the command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	s := streams{in: os.Stdin, out: stdout, err: stderr}
	parser, err := newParser(commands(s))
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	return s.exitCode(err)
}

func newParser(specs []commandSpec) (*flags.Parser, error) {
	parser := flags.NewNamedParser("cassiawall", flags.HelpFlag|flags.PassDoubleDash)
	parser.CommandHandler = execute
	return parser, addCommands(parser.Command, specs)
}

// execute runs a command. All commands but serve end on SIGHUP, which a terminal sends when it closes.
func execute(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if _, isNode := command.(*serveCommand); !isNode {
		hangup.RestoreDefault()
	}
	return command.Execute(args)
}

func addCommands(parent *flags.Command, specs []commandSpec) error {
	for _, spec := range specs {
		command, err := parent.AddCommand(spec.name, spec.short, spec.long, spec.data)
		if err != nil {
			return err
		}
		// A command that implements flags.Commander can run without a subcommand.
		_, command.SubcommandsOptional = spec.data.(flags.Commander)
		if err := addCommands(command, spec.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func (s streams) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(s.out, usage.Message)
			return exitOK
		}
		fmt.Fprintln(s.err, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(s.err, err)
	if fault.Is(err, fault.InvalidSettings) || fault.Is(err, fault.InvalidConfiguration) || fault.Is(err, fault.BadRequest) {
		return exitUsage
	}
	return exitFailed
}

// commandSpec describes one command. data holds its flags as tagged fields and implements
// flags.Commander unless the command only groups subcommands.
type commandSpec struct {
	name, short, long string
	data              any
	subcommands       []commandSpec
}

func commands(s streams) []commandSpec {
	return []commandSpec{
		{name: "version", short: "Print the version", long: "Print the version.\n\nExample: cassiawall version --json", data: &versionCommand{streams: s}},
		serveSpec(s),
		checkSpec(s),
		initSpec(s),
		applySpec(s),
		statusSpec(s),
		reportSpec(s),
		standinSpec(s),
		{name: "demo", short: "Run three nodes and stand-ins on loopback", long: "Run three nodes and stand-ins of the platform on loopback with a mixed load.\n\nExample: cassiawall demo --requests 200 --seed 1 --json", data: &demoCommand{streams: s}},
		benchSpec(s),
		explainSpec(s),
	}
}

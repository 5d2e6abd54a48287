package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/hangup"
	"cassiawall.example/cassiawall/pkg/logging"
	"cassiawall.example/cassiawall/pkg/node"
	"cassiawall.example/cassiawall/pkg/settings"
)

func serveSpec(s streams) commandSpec {
	return commandSpec{
		name: "serve", short: "Run a node",
		long: "Run a node: entry for callers, peer of the other nodes and controller. The first SIGTERM or SIGINT starts a graceful shutdown that lets running requests finish; the second stops at once. SIGHUP is logged and changes nothing: settings are read at the start only.\n\n" +
			"Example: cassiawall serve --settings /etc/cassiawall/settings.yaml",
		data: &serveCommand{streams: s},
	}
}

type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"Settings of this process, in YAML" required:"true"`
	streams  streams
}

// Execute runs the node until a signal stops it: the first signal starts a graceful shutdown, the
// second stops the node at once.
func (c *serveCommand) Execute([]string) error {
	// Without this, the end of the process that reads the log would end the node at its next line.
	signal.Ignore(syscall.SIGPIPE)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	keys, err := s.LoadPeerKeys()
	if err != nil {
		return err
	}
	logger := logging.New(c.streams.err, s.SlogLevel(), keys...)
	n, err := node.New(node.Options{Settings: s, PeerKeys: keys, Logger: logger})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		for range hangup.Received() {
			event.ReloadIgnored.Log(ctx, logger)
		}
	}()
	go func() {
		<-signals
		n.Shutdown()
		<-signals
		cancel()
	}()
	return n.Run(ctx)
}

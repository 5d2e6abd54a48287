// Command cassiawall-node runs one node of cassiawall on the users' platform. It is a program of its
// own because the memory of a node is paid for, and the libraries of the other commands more than
// double it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"cassiawall.example/cassiawall/pkg/gateway/node"
	"cassiawall.example/cassiawall/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cassiawall-node:", err)
		os.Exit(1)
	}
}

func run() error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	// The settings that may change while a node runs name only its first peers, which it needs at
	// its start; SIGHUP must not end the process.
	signal.Ignore(syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return node.New(node.Options{
		Settings: settings, Protocol: platform.Headers{}, Store: platform.NewStore(settings.Store),
		Kinds:   node.Kinds{Config: platform.KindConfig, Backends: platform.KindServers, Versions: platform.KindVersions},
		Decoder: platform.Decoder{}, Engines: platform.NewEngines(), CacheStore: platform.NewCacheStore(),
		ReadyPath: platform.ReadyPath,
		Logger:    slog.New(slog.NewJSONHandler(os.Stdout, nil)),
	}).Run(stop)
}

// Command cassiawall-node runs one node of cassiawall on the users' platform. It is a program of its
// own because the memory of a node is paid for, and the libraries of the other commands more than
// double it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/decisions"
	"cassiawall.example/cassiawall/pkg/gateway/node"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/platform"
)

// options are the arguments of the command.
type options struct {
	MetricsPort int    `long:"metrics-port" value-name:"PORT" description:"Port of the metrics on the machine's address; 0 serves none" default:"0"`
	MetricsPath string `long:"metrics-path" value-name:"PATH" description:"Path of the metrics" default:"/metrics"`
	LogLevel    string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level of the log lines" default:"info"`
}

// memoryShare is the share of the process's memory at which the runtime collects garbage harder. The
// rest holds what the runtime does not count, such as unread bytes of connections.
const memoryLimitShare = 0.7

// flushTime bounds the wait for the reader of the log at the end.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "cassiawall-node:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.LogLevel)); err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * settings.MemoryMB * (1 << 20)))
	}
	lines := decisions.NewWriter(os.Stdout)
	defer lines.Close(logFlushTimeout)
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))
	registry := metrics.New()
	n := node.New(node.Options{
		Settings: settings, Protocol: platform.Headers{}, Store: platform.NewStore(settings.StoreAddress, storeCallObserver(registry)),
		Kinds:   node.Kinds{Config: platform.KindConfig, Backends: platform.KindServers, Versions: platform.KindVersions},
		Decoder: platform.Decoder{}, Engines: platform.NewEngines(), CacheStore: platform.NewCacheStore(),
		ReadyPath: platform.ReadyPath, Logger: logger, Metrics: registry, LinesDropped: lines.Dropped,
		MetricsPort: o.MetricsPort, MetricsPath: o.MetricsPath,
	})
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	go reloadOnHangup(stop, path, n, logger)
	return n.Run(stop)
}

// reloadOnHangup reads the settings again at each SIGHUP. Settings that cannot be used change nothing.
func reloadOnHangup(ctx context.Context, path string, n *node.Node, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			event.SettingsRefused.Emit(logger, "error", err.Error())
			continue
		}
		n.Reload(s)
	}
}

// observeStore counts and times the calls to the platform's store.
func storeCallObserver(m *metrics.Registry) func(call string, took time.Duration, err error) {
	return func(call string, took time.Duration, err error) {
		result := "ok"
		if err != nil {
			result = "failed"
		}
		m.Counter("store_calls", "call", call, "result", result).Inc(1)
		if call != "watch" {
			m.Histogram("store_call_ms", "call", call).Update(took.Milliseconds())
		}
	}
}

// Command cassiawall-node runs one node of cassiawall on the users' platform. It is separate from command
// cassiawall because the platform charges for a node's memory, and the libraries of the other commands more
// than double it.
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
	"cassiawall.example/cassiawall/pkg/hangup"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/platform"
)

// options are the command-line flags.
type options struct {
	MetricsPort int    `long:"metrics-port" value-name:"PORT" description:"Port of the metrics on the machine's address; 0 serves none" default:"0"`
	MetricsPath string `long:"metrics-path" value-name:"PATH" description:"Path of the metrics" default:"/metrics"`
	LogLevel    string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level of the log lines" default:"info"`
}

// memoryLimitShare is the share of the process's memory that is set as the soft memory limit of the Go
// runtime. The rest is for memory that the runtime does not count: the program and the system's socket buffers.
const memoryLimitShare = 0.6

// logFlushTimeout bounds the time to write the remaining log lines when the process ends.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	// Without this, the end of the process that reads the log would end this one at its next line.
	signal.Ignore(syscall.SIGPIPE)
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
	store := platform.NewStore(settings.StoreAddress, storeCallObserver(registry))
	store.OnSkip = func(kind string, err error) { event.EntrySkipped.Emit(logger, "kind", kind, "error", err.Error()) }
	n := node.New(node.Options{
		Settings: settings, Protocol: platform.Headers{}, Store: store,
		Kinds:   node.Kinds{Config: platform.KindConfig, Backends: platform.KindServers, Versions: platform.KindVersions},
		Decoder: platform.Decoder{}, Engines: platform.NewEngines(), CacheStore: platform.NewCacheStore(),
		ReadyPath: platform.ReadyPath, Logger: logger, Metrics: registry, LinesDropped: lines.Dropped,
		MetricsPort: o.MetricsPort, MetricsPath: o.MetricsPath,
	})
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	go reloadOnHangup(path, n, logger)
	return n.Run(stop)
}

// reloadOnHangup reloads the settings file on each SIGHUP until the process exits, also during shutdown. The
// settings in use stay if the file is invalid.
func reloadOnHangup(path string, n *node.Node, logger *slog.Logger) {
	for range hangup.Received() {
		s, err := platform.LoadSettings(path)
		if err != nil {
			event.SettingsRefused.Emit(logger, "error", err.Error())
			continue
		}
		n.Reload(s)
	}
}

// storeCallObserver returns a function that records the number and the duration of calls to the platform's
// store. Durations of watches are left out, because they include the wait for changes.
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

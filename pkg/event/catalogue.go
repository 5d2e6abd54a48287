package event

import "log/slog"

// Numbers: 1xx process, 2xx callers, 3xx engines, 4xx peers and membership, 5xx configuration,
// 6xx object API, leases and claims, 7xx plain services, 8xx security.
var (
	NodeStarted  = define(101, "node started", slog.LevelInfo, "none")
	NodeReady    = define(102, "node ready", slog.LevelInfo, "none")
	NodeDraining = define(103, "node draining", slog.LevelInfo, "none")
	NodeStopped  = define(104, "node stopped", slog.LevelInfo, "none")

	RequestRefused = define(201, "request refused", slog.LevelInfo, "look up the kind in docs/ERRORS.md")
	RequestFailed  = define(202, "request failed", slog.LevelWarn, "look up the kind in docs/ERRORS.md")
	StreamReplayed = define(203, "stream continued on another engine", slog.LevelInfo, "check the first engine if it repeats")

	EngineUnreachable    = define(301, "engine unreachable", slog.LevelWarn, "check the engine and the network to it")
	EngineReincarnated   = define(302, "engine returned with a new incarnation", slog.LevelWarn, "find out why the engine restarted")
	EngineEventsLost     = define(303, "cache events lost", slog.LevelInfo, "none; the index is repaired from a snapshot")
	EngineOwnershipTaken = define(304, "engine ownership taken", slog.LevelInfo, "none")
	VMListUnavailable    = define(306, "VM list unavailable", slog.LevelWarn, "check the platform's VM list; the last known list stays in use")
	DirectDispatch       = define(305, "dispatched without the engine's owner", slog.LevelInfo, "check the owner node if it repeats")
)

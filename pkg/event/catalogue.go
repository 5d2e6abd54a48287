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
	DirectDispatch       = define(305, "dispatched without the engine's owner", slog.LevelInfo, "check the owner node if it repeats")
	VMListUnavailable    = define(306, "VM list unavailable", slog.LevelWarn, "check the platform's VM list; the last known list stays in use")
	SlotExpired          = define(309, "slot expired without renewal", slog.LevelInfo, "check the entry node if it repeats")
	CopyFailed           = define(320, "copy of cached pieces failed", slog.LevelInfo, "check the KV cache store if it repeats; the pieces are computed")

	PeerCallRefused = define(401, "peer call refused", slog.LevelWarn, "check the peer keys and the clocks of both nodes")
	DatagramRefused = define(402, "datagram refused", slog.LevelWarn, "check the peer keys, the clocks and who can reach the gossip port")
	MemberJoined    = define(403, "member joined", slog.LevelInfo, "none")
	MemberSuspected = define(404, "member suspected", slog.LevelInfo, "none")
	MemberDead      = define(405, "member declared dead", slog.LevelWarn, "check the VM and the network to it")
	MemberLeft      = define(406, "member left", slog.LevelInfo, "none")
	SelfRefuted     = define(407, "own suspicion refuted", slog.LevelInfo, "check the load of this VM if it repeats")
	BootstrapFailed = define(408, "bootstrap from a peer failed", slog.LevelInfo, "none; the next peer is asked")

	ConfigAccepted    = define(501, "configuration in force", slog.LevelInfo, "none")
	ConfigStale       = define(502, "older configuration ignored", slog.LevelWarn, "find out which source lags if it repeats")
	ConfigInvalid     = define(503, "configuration refused", slog.LevelError, "apply a configuration that this release accepts")
	ConfigFetchFailed = define(504, "configuration fetch failed", slog.LevelInfo, "check the peer or the object API if it repeats")
	ConfigSourceDown  = define(505, "configuration watch interrupted", slog.LevelWarn, "check the object API; the configuration in force stays")

	ClaimsRefused      = define(601, "claims refused, object API unavailable", slog.LevelWarn, "check the object API; the refused requests were not run")
	ClaimsResumed      = define(602, "claims accepted again", slog.LevelInfo, "none")
	JournalDamaged     = define(603, "claim journal damaged", slog.LevelError, "restore the named object; its shard refuses non-idempotent requests until then")
	JournalFull        = define(604, "claim journal or queue full", slog.LevelWarn, "check the object API's speed; if it is well, shorten retry_window of the busiest workspace")
	OutcomeNotRecorded = define(605, "outcome not recorded", slog.LevelWarn, "none; repeats of the request answer outcome_unknown")
	LeaseTaken         = define(606, "lease taken", slog.LevelInfo, "none")
	LeaseLost          = define(607, "lease lost", slog.LevelInfo, "check the load of this VM and the object API if it repeats")
	OrderRefused       = define(608, "order refused by the engine", slog.LevelWarn, "none; a newer lease holder is at work")
	OrderFailed        = define(609, "order failed", slog.LevelWarn, "check the engine; the order is repeated")
	RolloutStarted     = define(610, "rollout started", slog.LevelInfo, "none")
	RolloutDone        = define(611, "rollout complete", slog.LevelInfo, "none")
	RolloutStopped     = define(612, "rollout stopped, rolling back", slog.LevelError, "check the new weights; apply another weights_version to try again")
	RolloutBlocked     = define(613, "rollout waits for serving engines", slog.LevelWarn, "bring engines back or lower min_serving")
	LeaseDamaged       = define(614, "lease object damaged", slog.LevelError, "delete the named object 35 s after the last order; its shard gets no orders until then")
	RolloutDamaged     = define(615, "rollout state damaged", slog.LevelError, "delete the object rollouts/current; rollouts start over from the engines' weights")
	WeightsUnavailable = define(616, "weights unavailable, no further loads", slog.LevelWarn, "check that the weight store has the version and keeps up")

	BackendUnreachable = define(701, "backend server unreachable", slog.LevelWarn, "check the backend server and the network to it")
	BackendReachable   = define(702, "backend server reachable again", slog.LevelInfo, "none")
	OutcomeLost        = define(703, "answer to a non-idempotent request lost", slog.LevelWarn, "check the state of the work at the service before ordering it again")
	AnswerReplayed     = define(704, "answer replayed from the record", slog.LevelInfo, "none")

	CertificateLoaded  = define(801, "certificate loaded", slog.LevelInfo, "none")
	CertificateRefused = define(802, "changed certificate refused", slog.LevelError, "correct the certificate, key and authorities files; the old ones stay in use")
)

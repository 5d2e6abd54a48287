// Package demo runs three nodes and stand-ins of the platform on loopback, and sends them a mixed
// workload of chats and bookings.
package demo

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
)

// Names of the demo's models, services and workspaces.
const (
	modelLugha         = "lugha"
	modelDraft         = "draft-llm"
	bookingServiceName = "ratiba"
	roundsServiceName  = "rounds-app"
)

// apiKey returns the API key of a workspace in the demo. It is valid only in the demo.
func apiKey(workspace string) string { return "demo-key-" + workspace }

// localConfig returns a copy of c for the demo: workspaces get the demo's API keys, and the configured
// backend servers are removed, so that services use the stand-ins in the VM list.
func localConfig(c *config.Config) *config.Config {
	adapted := *c
	adapted.Workspaces = slices.Clone(c.Workspaces)
	for i := range adapted.Workspaces {
		adapted.Workspaces[i].APIKeyHashes = []string{auth.Hash(apiKey(adapted.Workspaces[i].Name))}
	}
	adapted.Services = slices.Clone(c.Services)
	for i := range adapted.Services {
		adapted.Services[i].BackendServers = nil
	}
	return &adapted
}

// defaultConfig returns the demo's own configuration: two workspaces, each with its own model, plain
// service and prompt levels.
func defaultConfig() *config.Config {
	return &config.Config{
		Models: []config.Model{
			{Name: modelLugha, WeightsVersion: "v1", PieceTokens: config.DefaultPieceTokens, BytesPerToken: config.DefaultBytesPerToken, MinServing: 1},
			{Name: modelDraft, WeightsVersion: "v1", PieceTokens: config.DefaultPieceTokens, BytesPerToken: config.DefaultBytesPerToken, MinServing: 1},
		},
		Services: []config.Service{
			{Name: bookingServiceName, Routes: []config.Route{{Path: "/bookings", Methods: []string{"POST"}, NonIdempotent: true}}, Timeout: config.Duration(config.DefaultServiceTimeout)},
			{Name: roundsServiceName, Routes: []config.Route{{Path: "/completions-log", Methods: []string{"POST"}, NonIdempotent: true}}, Timeout: config.Duration(config.DefaultServiceTimeout)},
		},
		Workspaces: []config.Workspace{
			newWorkspace("shule-moja", modelLugha, bookingServiceName, "school", "timetable", "family"),
			newWorkspace("songino-gers", modelDraft, roundsServiceName, "district", "round", "property"),
		},
		Policy: config.Policy{LatencyWeight: 1, RecomputeWeight: 1},
	}
}

func newWorkspace(name, model, service string, levels ...string) config.Workspace {
	prompt := config.Prompt{Name: "main"}
	for _, level := range levels {
		prompt.Levels = append(prompt.Levels, config.Level{Name: level, Shared: true})
	}
	return config.Workspace{
		Name: name, Models: []string{model}, Services: []string{service},
		Prompts: []config.Prompt{prompt}, Weight: 1, RetryWindow: config.Duration(config.DefaultRetryWindow),
		Limits: config.Limits{BodyBytes: config.DefaultBodyBytes, Deadline: config.Duration(20 * time.Second)},
		Objectives: config.Objectives{TTFT: config.Duration(config.DefaultTTFT), BetweenTokens: config.Duration(config.DefaultBetweenTokens),
			Target: config.DefaultTarget, CompleteTarget: config.DefaultOutcomeTarget, OutcomeTarget: config.DefaultOutcomeTarget},
	}
}

// Package demo runs the main job on loopback: stand-ins of the platform, three nodes and a mixed
// load of callers.
package demo

import (
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
)

// Names of the demo's models, services and workspaces.
const (
	modelLugha  = "lugha"
	modelDraft  = "draft-llm"
	serviceName = "ratiba"
	roundsName  = "rounds-app"
)

// apiKey returns the demo's key of a workspace. It opens nothing but the demo.
func apiKey(workspace string) string { return "demo-key-" + workspace }

// local returns the configuration as the demo serves it: workspaces take the demo's keys, and the
// stand-ins replace the backend servers.
func local(c *config.Config) *config.Config {
	served := *c
	served.Workspaces = slices.Clone(c.Workspaces)
	for i := range served.Workspaces {
		served.Workspaces[i].APIKeyHashes = []string{auth.Hash(apiKey(served.Workspaces[i].Name))}
	}
	served.Services = slices.Clone(c.Services)
	for i := range served.Services {
		served.Services[i].BackendServers = nil
	}
	return &served
}

// defaultConfig returns the configuration of the demo: one workspace of each user's kind.
func defaultConfig() *config.Config {
	return &config.Config{
		Models: []config.Model{
			{Name: modelLugha, WeightsVersion: "v1", PieceTokens: config.DefaultPieceTokens, BytesPerToken: config.DefaultBytesPerToken, MinServing: 1},
			{Name: modelDraft, WeightsVersion: "v1", PieceTokens: config.DefaultPieceTokens, BytesPerToken: config.DefaultBytesPerToken, MinServing: 1},
		},
		Services: []config.Service{
			{Name: serviceName, Routes: []config.Route{{Path: "/bookings", Methods: []string{"POST"}, NonIdempotent: true}}, Timeout: config.Duration(config.DefaultServiceTimeout)},
			{Name: roundsName, Routes: []config.Route{{Path: "/completions-log", Methods: []string{"POST"}, NonIdempotent: true}}, Timeout: config.Duration(config.DefaultServiceTimeout)},
		},
		Workspaces: []config.Workspace{
			workspace("shule-moja", modelLugha, serviceName, "school", "timetable", "family"),
			workspace("songino-gers", modelDraft, roundsName, "district", "round", "property"),
		},
		Policy: config.Policy{LatencyWeight: 1, RecomputeWeight: 1},
	}
}

func workspace(name, model, service string, levels ...string) config.Workspace {
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

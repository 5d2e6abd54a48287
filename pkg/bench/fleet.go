package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/localfleet"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// weightsVersion is the weights version that all engines of a bench serve.
const weightsVersion = "v1"

func engineName(i int) string    { return fmt.Sprintf("engine-%02d", i+1) }
func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i+1) }
func apiKey(i int) string        { return fmt.Sprintf("bench-key-%d", i+1) }

// configuration returns the dynamic configuration of a profile.
func (p *Profile) configuration() *config.Config {
	c := &config.Config{
		Models: []config.Model{{
			Name:           p.Model,
			WeightsVersion: weightsVersion,
			PieceTokens:    pieceTokens,
			BytesPerToken:  bytesPerToken,
			MinServing:     1,
		}},
		Policy:  p.Policy,
		KVStore: p.KVStore,
		Rollout: config.Rollout{MaxConcurrentLoads: p.MaxConcurrentLoads, CanaryEngines: 1, MaxErrorShare: config.DefaultMaxErrorShare},
	}
	for i := range p.WorkspaceShares {
		c.Workspaces = append(c.Workspaces, p.workspace(i))
	}
	return c
}

func (p *Profile) workspace(i int) config.Workspace {
	hash := sha256.Sum256([]byte(apiKey(i)))
	prompt := config.Prompt{Name: "bench"}
	for _, l := range p.Levels {
		prompt.Levels = append(prompt.Levels, config.Level{Name: l.Name, Shared: l.Shared})
	}
	return config.Workspace{
		Name:         workspaceName(i),
		APIKeyHashes: []string{hex.EncodeToString(hash[:])},
		Models:       []string{p.Model},
		Prompts:      []config.Prompt{prompt},
		Limits:       config.Limits{BodyBytes: config.DefaultBodyBytes, Deadline: config.Duration(config.DefaultDeadline)},
		Weight:       1,
		Objectives: config.Objectives{
			TTFT:           config.Duration(config.DefaultTTFT),
			BetweenTokens:  config.Duration(config.DefaultBetweenTokens),
			Target:         config.DefaultTarget,
			CompleteTarget: config.DefaultOutcomeTarget,
			OutcomeTarget:  config.DefaultOutcomeTarget,
		},
		RetryWindow: config.Duration(config.DefaultRetryWindow),
	}
}

// startFleet starts the nodes and engines for one policy. All engines share the ledger, which
// counts their work, and a limit on concurrent weight loads.
func startFleet(ctx context.Context, p *Profile, policy string, ledger *enginestandin.Ledger, logger *slog.Logger) (*localfleet.Fleet, error) {
	options := localfleet.Options{
		Nodes:       p.Nodes,
		DataCentres: p.DataCentres,
		Config:      p.configuration(),
		Logger:      logger,
	}
	if policy != PolicyCassiawall {
		options.Policy = policy
	}
	loader := enginestandin.NewLoader(p.MaxConcurrentLoads, enginestandin.LoadTime)
	for i := range p.Engines {
		c := p.engineConfig(i)
		c.Ledger = ledger
		c.Loader = loader
		options.Engines = append(options.Engines, c)
	}
	return localfleet.Start(ctx, options)
}

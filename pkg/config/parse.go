package config

import (
	"bytes"

	"go.yaml.in/yaml/v3"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Parse reads a configuration document, fills in defaults and validates it. The error is of
// kind fault.InvalidConfiguration.
func Parse(document []byte) (*Config, error) {
	var c Config
	decoder := yaml.NewDecoder(bytes.NewReader(document))
	decoder.KnownFields(true)
	if err := decoder.Decode(&c); err != nil {
		return nil, fault.Wrap(err, fault.InvalidConfiguration, "configuration does not parse")
	}
	c.setDefaults()
	return &c, nil
}

func (c *Config) setDefaults() {
	for i := range c.Models {
		m := &c.Models[i]
		setDefault(&m.PieceTokens, DefaultPieceTokens)
		setDefault(&m.BytesPerToken, DefaultBytesPerToken)
		setDefault(&m.MinServing, 1)
	}
	for i := range c.Services {
		setDefault(&c.Services[i].Timeout, Duration(DefaultServiceTimeout))
	}
	for i := range c.Workspaces {
		c.Workspaces[i].setDefaults()
	}
	setDefault(&c.Policy.LatencyWeight, 1)
	setDefault(&c.Policy.RecomputeWeight, 1)
	setDefault(&c.Rollout.MaxConcurrentLoads, DefaultMaxLoads)
	setDefault(&c.Rollout.CanaryEngines, 1)
	setDefault(&c.Rollout.MaxErrorShare, DefaultMaxErrorShare)
}

func (w *Workspace) setDefaults() {
	setDefault(&w.Weight, 1)
	setDefault(&w.RetryWindow, Duration(DefaultRetryWindow))
	setDefault(&w.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&w.Limits.Deadline, Duration(DefaultDeadline))
	setDefault(&w.Objectives.TTFT, Duration(DefaultTTFT))
	setDefault(&w.Objectives.BetweenTokens, Duration(DefaultBetweenTokens))
	setDefault(&w.Objectives.Target, DefaultTarget)
	setDefault(&w.Objectives.CompleteTarget, DefaultOutcomeTarget)
	setDefault(&w.Objectives.OutcomeTarget, DefaultOutcomeTarget)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

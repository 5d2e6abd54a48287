package config

import (
	"fmt"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// MaxDocumentBytes is the maximum size of a configuration document. A document with 18,000 workspaces
// has about 5 MB. Documents that do not fit into one object of the object API are stored in parts.
const MaxDocumentBytes = 8 << 20

// Parse decodes a configuration document, validates it and fills in defaults. The configuration is
// nil if the document has any problem. The error is of kind fault.InvalidConfiguration and wraps
// strictyaml.Problems, which lists all of them.
func Parse(document []byte) (*Config, error) {
	var c Config
	d := strictyaml.Decode(document, &c)
	if len(document) > MaxDocumentBytes {
		d.Add("document", fmt.Sprintf("the document has %d bytes", len(document)),
			fmt.Sprintf("shorten it to at most %d bytes", MaxDocumentBytes))
	}
	c.validate(d)
	if err := d.Err(); err != nil {
		return nil, fault.Wrap(err, fault.InvalidConfiguration, "configuration is refused")
	}
	c.setDefaults()
	return &c, nil
}

func (c *Config) setDefaults() {
	for i := range c.Models {
		m := &c.Models[i]
		defaults.Set(&m.PieceTokens, DefaultPieceTokens)
		defaults.Set(&m.BytesPerToken, DefaultBytesPerToken)
		defaults.Set(&m.MinServing, 1)
	}
	for i := range c.Services {
		defaults.Set(&c.Services[i].Timeout, Duration(DefaultServiceTimeout))
	}
	for i := range c.Workspaces {
		c.Workspaces[i].setDefaults()
	}
	defaults.Set(&c.Policy.LatencyWeight, 1)
	defaults.Set(&c.Policy.RecomputeWeight, 1)
	defaults.Set(&c.Rollout.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	defaults.Set(&c.Rollout.CanaryEngines, 1)
	defaults.Set(&c.Rollout.MaxErrorShare, DefaultMaxErrorShare)
}

func (w *Workspace) setDefaults() {
	defaults.Set(&w.Weight, 1)
	defaults.Set(&w.RetryWindow, Duration(DefaultRetryWindow))
	defaults.Set(&w.Limits.BodyBytes, DefaultBodyBytes)
	defaults.Set(&w.Limits.Deadline, Duration(DefaultDeadline))
	defaults.Set(&w.Objectives.TTFT, Duration(DefaultTTFT))
	defaults.Set(&w.Objectives.BetweenTokens, Duration(DefaultBetweenTokens))
	defaults.Set(&w.Objectives.Target, DefaultTarget)
	defaults.Set(&w.Objectives.CompleteTarget, DefaultOutcomeTarget)
	defaults.Set(&w.Objectives.OutcomeTarget, DefaultOutcomeTarget)
}

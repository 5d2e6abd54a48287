package config

import (
	"fmt"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// MaxDocumentBytes bounds a configuration document. 18,000 workspaces take about 5 MB. Documents
// that do not fit into one object of the object API are stored in parts.
const MaxDocumentBytes = 8 << 20

// Parse reads a configuration document, validates it and fills in defaults. On an error nothing
// is returned. The error is of kind fault.InvalidConfiguration and wraps strictyaml.Problems,
// which holds every fault of the document.
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

package config

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is written in YAML with its unit, as in "1.5s" or "20ms".
type Duration time.Duration

// AsDuration returns d as time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Hint returns the remedy for a value that is not a duration. It implements strictyaml.Hinter.
func (d Duration) Hint() string { return `write a number with its unit, such as "1.5s" or "20ms"` }

// UnmarshalYAML parses a duration with its unit. A bare number is refused because its unit is unclear.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	duration, err := time.ParseDuration(node.Value)
	if err != nil || node.ShortTag() != "!!str" {
		return fmt.Errorf("%q is not a duration", node.Value)
	}
	*d = Duration(duration)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Package unit holds what several formats have in common: durations with a unit in JSON and
// YAML, the list of invalid fields of a document, and the rule for valid names.
package unit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is written as text, such as "1m30s".
type Duration struct{ time.Duration }

// Seconds returns a Duration of n seconds.
func Seconds(n float64) Duration {
	return Duration{time.Duration(n * float64(time.Second))}
}

// MarshalText writes the duration as text, such as "1m30s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration such as "1m30s". A number without a unit is an
// error.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("Duration.UnmarshalText: %q is not a duration such as 30s", b)
	}
	d.Duration = v

	return nil
}

// UnmarshalYAML reads a duration such as "1m30s". The error names the line.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %q is not a duration such as 30s", n.Line, n.Value)}}
	}
	d.Duration = v

	return nil
}

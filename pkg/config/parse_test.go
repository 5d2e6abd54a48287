package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

const validConfig = `models:
  - name: lugha
    weights_version: v1
services:
  - name: ratiba
    backend_servers: ["127.0.0.1:7001"]
    routes:
      - path: /bookings
        methods: [POST]
        non_idempotent: true
workspaces:
  - name: north
    api_key_hashes: [` + hashA + `]
    models: [lugha]
    services: [ratiba]
    prompts:
      - name: slots
        levels: [{name: school, shared: true}, {name: family}]
  - name: south
    api_key_hashes: [` + hashB + `]
    models: [lugha]
policy:
  recompute_weight: 2
`

// Guards against defaults that differ from the documented ones, and against a default that
// overwrites an explicit value.
func TestParseFillsDefaults(t *testing.T) {
	c, err := Parse([]byte(validConfig))
	require.NoError(t, err)
	assert.Equal(t, DefaultPieceTokens, c.Models[0].PieceTokens)
	assert.Equal(t, DefaultDeadline, c.Workspaces[1].Limits.Deadline.AsDuration())
	assert.InDelta(t, 1, c.Policy.LatencyWeight, 0)
	assert.InDelta(t, 2, c.Policy.RecomputeWeight, 0)
}

// Guards against validation that stops at the first problem, or reports it without line and field.
func TestParseReportsAllFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, field, message string }{
		"unknown key":         {"weights_version: v1", "weights_version: v1\n    colour: red", "models[0].colour", "unknown"},
		"unit on a number":    {"weights_version: v1", "weights_version: v1\n    piece_tokens: 4k", "models[0].piece_tokens", "whole number"},
		"no unit on a time":   {"name: ratiba\n", "name: ratiba\n    timeout: 5\n", "services[0].timeout", "not a duration"},
		"negative time":       {"name: ratiba\n", "name: ratiba\n    timeout: -5s\n", "services[0].timeout", "out of range"},
		"duplicate model":     {"services:", "  - {name: lugha, weights_version: v2}\nservices:", "models[1].name", "line 2"},
		"duplicate workspace": {"name: south", "name: north", "workspaces[1].name", "line 12"},
		"duplicate key":       {hashB, hashA, "workspaces[1].api_key_hashes[0]", "workspaces[0]"},
		"plain key":           {hashB, "sk-secret", "workspaces[1].api_key_hashes[0]", "not a SHA-256"},
		"undeclared model":    {"models: [lugha]\npolicy", "models: [nope]\npolicy", "workspaces[1].models[0]", "nope"},
		"undeclared service":  {"services: [ratiba]", "services: [nope]", "workspaces[0].services[0]", "nope"},
		"model not listed":    {"services: [ratiba]", "non_idempotent_models: [x]", "workspaces[0].non_idempotent_models[0]", "x"},
		"no model or service": {"    models: [lugha]\npolicy", "policy", "workspaces[1]", "no model"},
		"out of range":        {"recompute_weight: 2", "recompute_weight: 0", "policy.recompute_weight", "out of range"},
		"not finite":          {"recompute_weight: 2", "recompute_weight: .nan", "policy.recompute_weight", "not a number"},
		"reserved path":       {"path: /bookings", "path: /v1/models", "services[0].routes[0].path", "belongs"},
		"unknown method":      {"[POST]", "[SEND]", "services[0].routes[0].methods[0]", "SEND"},
		"unused derive_key":   {"non_idempotent: true", "derive_key: true", "services[0].routes[0].derive_key", "no effect"},
		"bad server":          {"127.0.0.1:7001", "127.0.0.1", "services[0].backend_servers[0]", "not an address"},
		"private before shared": {"[{name: school, shared: true}, {name: family}]", "[{name: school}, {name: family, shared: true}]",
			"workspaces[0].prompts[0].levels[1].shared", "inside"},
		"no value": {"recompute_weight: 2", "recompute_weight:", "policy.recompute_weight", "no value"},
		"bad name": {"name: south", "name: so uth", "workspaces[1].name", "not a valid name"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validConfig, c.old)
			text := strings.Replace(validConfig, c.old, c.new, 1) + "other_fault: 1\n"
			parsed, err := Parse([]byte(text))
			assert.Nil(t, parsed)
			assert.True(t, fault.Is(err, fault.InvalidConfiguration))
			problems := problemsOf(t, err)
			require.Len(t, problems, 2, problems.Error())
			assert.Equal(t, c.field, problems[0].Field)
			assert.Contains(t, problems[0].Message, c.message)
			assert.NotContains(t, problems[0].Message, "sk-secret")
			assert.Greater(t, problems[0].Line, 1)
			assert.NotEmpty(t, problems[0].Remedy)
			assert.Equal(t, "other_fault", problems[1].Field)
		})
	}
}

func problemsOf(t *testing.T, err error) strictyaml.Problems {
	var problems strictyaml.Problems
	require.True(t, errors.As(err, &problems), "%v", err)
	return problems
}

// Guards against a document without a size limit, which would take unbounded memory and time on every
// node.
func TestParseRefusesOversizedDocument(t *testing.T) {
	_, err := Parse([]byte(validConfig + "#" + strings.Repeat("x", MaxDocumentBytes)))
	assert.Contains(t, problemsOf(t, err)[0].Remedy, "8388608")
}

// Guards against invalid documents that make Parse panic or that it accepts: empty documents, invalid
// YAML, a wrong type at the top level, and two documents in one file.
func TestParseRefusesBrokenDocuments(t *testing.T) {
	for _, text := range []string{"", "# only a comment", "a: [", "- list", "text", "models: 3", validConfig + "---\nx: 1\n"} {
		_, err := Parse([]byte(text))
		assert.NotEmpty(t, problemsOf(t, err), text)
	}
}

// Guards against input that makes Parse panic, or return neither a configuration nor an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("? [a]\n: *b"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if (c == nil) == (err == nil) {
			t.Fatal("Parse must return either a configuration or an error")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("models: [{name: m, weights_version: v1}]\nworkspaces:\n")
	for i := range 5000 {
		fmt.Fprintf(&text, "  - {name: w%d, api_key_hashes: [%064x], models: [m], limits: {concurrency: 5, deadline: 3s}}\n", i, i)
	}
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		if _, err := Parse([]byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}

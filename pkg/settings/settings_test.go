package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

const validSettings = `name: entry-1
data_centre: dar-a
callers: {address: "127.0.0.1:8080"}
peers: {address: "127.0.0.1:8081"}
gossip: {address: "127.0.0.1:8082"}
operators: {address: "127.0.0.1:8083"}
platform:
  objects: http://127.0.0.1:9000
  vms: http://127.0.0.1:9001
peer_keys:
  - env: CASSIAWALL_PEER_KEY
`

// Guards against defaults that differ from the documented ones.
func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	assert.Equal(t, "dar-a", s.Region)
	assert.Equal(t, 10*time.Minute, s.DrainBound.AsDuration())
	assert.Equal(t, "info", s.LogLevel)
	assert.Equal(t, "engine", s.Engines.VMRole)
}

// Guards against validation that stops at the first problem, or reports it without line and field.
func TestParseReportsAllFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, field string }{
		"unknown key":             {"name: entry-1", "name: entry-1\ncolour: red", "colour"},
		"duplicate key":           {"name: entry-1", "name: entry-1\nname: entry-2", "name"},
		"missing field":           {"data_centre: dar-a\n", "", "data_centre"},
		"bad address":             {"127.0.0.1:8080", "127.0.0.1", "callers.address"},
		"bad port":                {"127.0.0.1:8080", "127.0.0.1:70000", "callers.address"},
		"duplicate address":       {"127.0.0.1:8083", "127.0.0.1:8080", "operators.address"},
		"no unit":                 {"name: entry-1", "name: entry-1\ndrain_bound: 30", "drain_bound"},
		"out of range":            {"name: entry-1", "name: entry-1\ndrain_bound: 30h", "drain_bound"},
		"unknown level":           {"name: entry-1", "name: entry-1\nlog_level: loud", "log_level"},
		"bad URL":                 {"http://127.0.0.1:9000", "127.0.0.1:9000", "platform.objects"},
		"no engines":              {"  vms: http://127.0.0.1:9001\n", "", "engines"},
		"file and env":            {"- env: CASSIAWALL_PEER_KEY", "- {env: A, file: b}", "peer_keys[0]"},
		"three keys":              {"- env: CASSIAWALL_PEER_KEY", "- env: A\n  - env: B\n  - env: C", "peer_keys"},
		"key without certificate": {`peers: {`, `peers: {tls: {key_file: k.pem}, `, "peers.tls"},
		"duplicate engine": {"name: entry-1", "name: entry-1\nengines: {static: [{id: a, address: 'h:1'}, {id: a, address: 'h:2'}]}",
			"engines.static[1].id"},
		"alias": {"name: entry-1", "name: &a entry-1", "name"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validSettings, c.old)
			text := strings.Replace(validSettings, c.old, c.new, 1) + "other_fault: 1\n"
			s, err := Parse([]byte(text))
			assert.Nil(t, s)
			assert.True(t, fault.Is(err, fault.InvalidSettings))
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
			require.Len(t, problems, 2, problems.Error())
			assert.Equal(t, c.field, problems[0].Field)
			assert.Positive(t, problems[0].Line)
			assert.NotEmpty(t, problems[0].Remedy)
			assert.Equal(t, "other_fault", problems[1].Field)
			assert.Equal(t, strings.Count(text, "\n"), problems[1].Line)
		})
	}
}

// Guards against peer keys that are too short, and against error messages that contain a key.
func TestLoadPeerKeys(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	t.Setenv("CASSIAWALL_PEER_KEY", "too-short-secret")
	_, err = s.LoadPeerKeys()
	require.ErrorContains(t, err, "peer_keys[0]")
	assert.NotContains(t, err.Error(), "too-short-secret")
	long := strings.Repeat("k", MinPeerKeyBytes)
	t.Setenv("CASSIAWALL_PEER_KEY", long+"\n")
	keys, err := s.LoadPeerKeys()
	require.NoError(t, err)
	assert.Equal(t, [][]byte{[]byte(long)}, keys)
}

// Guards against a settings file that makes Parse panic, or return neither settings nor an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if (s == nil) == (err == nil) {
			t.Fatal("Parse must return either settings or an error")
		}
	})
}

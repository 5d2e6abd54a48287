package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/event"
)

// logLine holds the attributes of a node's log line that the tests use.
type logLine struct {
	Event       int    `json:"event"`
	Version     int    `json:"version"`
	MaxDelayMS  int64  `json:"max_delay_ms"`
	ConfirmedBy string `json:"confirmed_by"`
}

// logLines returns the lines of an event in a node's log.
func logLines(t *testing.T, m *member, e event.Event) []logLine {
	t.Helper()
	data, err := os.ReadFile(m.logPath)
	require.NoError(t, err)
	var found []logLine
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event == e.Number {
			found = append(found, line)
		}
	}
	return found
}

// Guards against a node that was paused and takes weights that were set during the pause for new, because messages
// that waited in its sockets are dated by the time at which it reads them. Requests then begin on old weights.
func TestPauseCountsInTheAgeOfWeights(t *testing.T) {
	t.Parallel()
	f, _ := startFleet(t, buildNode(t), defaultSeed)
	// The leader takes the lease and the others become followers.
	time.Sleep(5 * time.Second)
	for _, m := range f.members {
		m.suspend()
		time.Sleep(time.Second)
		f.bumpVersion()
		// A list or watch of the store that the node began before the pause may end during it.
		time.Sleep(2 * time.Second)
		m.resume()
		version := f.version
		named := func() *logLine {
			for _, line := range logLines(t, m, event.WeightsNamed) {
				if line.Version == version {
					return &line
				}
			}
			return nil
		}
		require.Eventually(t, func() bool { return named() != nil }, 10*time.Second, 20*time.Millisecond)
		// The version was set two seconds before the end of the pause.
		assert.GreaterOrEqual(t, named().MaxDelayMS, int64(2000), "%s: confirmed by %s", m.settings.Name, named().ConfirmedBy)
		time.Sleep(2 * time.Second)
	}
	assert.Empty(t, f.findings)
}

package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/metrics"
)

// Guards against a SIGHUP between the start of a node and its connection to the others, which ended the process.
func TestReloadBeforeTheNodeIsConnected(t *testing.T) {
	n := New(Options{Settings: Settings{Name: "n", PeerAddress: "127.0.0.1:0"}, Store: &versionStore{}, Decoder: versionDecoder{}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	reloaded := make(chan struct{})
	go func() {
		defer close(reloaded)
		n.Reload(Settings{Seeds: []string{"127.0.0.1:7001"}})
	}()
	select {
	case <-reloaded:
		t.Fatal("the seeds were lost")
	case <-time.After(50 * time.Millisecond):
	}
	assert.NoError(t, n.connect())
	<-reloaded
}

package peers

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Guards against an encoded export that tells of an interruption of the store when it has long ended: other nodes would keep
// requests at servers that are gone.
func TestKeptExportDoesNotOutliveAnInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New(mirror.Options{Kind: "k", Target: discardTarget{}, Logger: slog.New(slog.DiscardHandler)})
		for era := range int64(2) {
			require.True(t, m.Import(mirror.Content{Revision: objects.Position(era, 5), Complete: true}, true))
		}
		var exports exportCache
		for _, interrupted := range []bool{true, false} {
			data, err := exports.get(m, 0, false)
			require.NoError(t, err)
			content, err := decodeContent(data)
			require.NoError(t, err)
			assert.Equal(t, interrupted, content.Interrupted)
			time.Sleep(5 * time.Second)
		}
	})
}

package report

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// fakePeer serves FetchBurn of one node and counts calls and bytes. Without a sketch, calls fail.
type fakePeer struct {
	peerpb.Peer
	sketch []byte
	calls  *atomic.Int64
	bytes  *atomic.Int64
}

func (p *fakePeer) FetchBurn(context.Context, *peerpb.FetchBurnRequest) (*peerpb.FetchBurnReply, error) {
	p.calls.Add(1)
	p.bytes.Add(int64(len(p.sketch)))
	if p.sketch == nil {
		return nil, errors.New("unreachable")
	}
	return &peerpb.FetchBurnReply{Sketches: p.sketch}, nil
}

func testConfig(workspaces int) *config.Config {
	c := &config.Config{}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: fmt.Sprintf("w%d", i), Objectives: config.Objectives{
			TTFT: config.Duration(time.Second), BetweenTokens: config.Duration(100 * time.Millisecond),
			Target: 0.95, CompleteTarget: 0.999, OutcomeTarget: 0.999,
		}})
	}
	return c
}

func newRecorder(c *config.Config, node string, now time.Time) *burn.Recorder {
	r := burn.NewRecorder(node, now.Add(-time.Minute))
	r.SetConfig(c)
	for i := range 20 * len(c.Workspaces) {
		ttft := time.Duration(1+i%37*53) * time.Millisecond
		r.RequestDone(now, c.Workspaces[i%len(c.Workspaces)].Name, burn.Outcome{TTFT: ttft, MaxBetweenTokens: ttft / 20, Complete: i%50 > 0, Cause: "<late>"})
	}
	return r
}

// newTestCollector returns a collector of node n000 in a fleet with the given number of nodes, of which
// the last cannot be reached, and the counts of calls and of bytes received.
func newTestCollector(nodes, workspaces int) (*Collector, *atomic.Int64, *atomic.Int64) {
	now := time.Now()
	c := testConfig(workspaces)
	board := blackboard.New()
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: c}, blackboard.Evidence{})
	var calls, received atomic.Int64
	sketch := newRecorder(c, "other", now).Sketch(now).Encode()
	peers := map[string]peerpb.Peer{}
	for i := range nodes {
		name := fmt.Sprintf("n%03d", i)
		board.Members.Put(name, blackboard.MemberEntry{Name: name, RPCAddress: name, State: blackboard.MemberAlive}, blackboard.Evidence{})
		peer := &fakePeer{calls: &calls, bytes: &received}
		if i < nodes-1 {
			peer.sketch = sketch
		}
		peers[name] = peer
	}
	return NewCollector(Options{Self: "n000", Board: board, Recorder: newRecorder(c, "n000", now), Now: time.Now,
		Client: func(address string) peerpb.Peer { return peers[address] }}), &calls, &received
}

// Guards against a report that omits nodes without listing them as missing, counts this node twice, or
// is collected again for each reader within reportTTL.
func TestCollect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, calls, _ := newTestCollector(5, 3)
		r, err := c.Collect(t.Context())
		require.NoError(t, err)
		assert.Equal(t, 4, r.Nodes)
		assert.Equal(t, []string{"n004"}, r.MissingNodes)
		assert.EqualValues(t, 4*20, r.Workspaces[0].Objectives[0].Requests)
		_, err = c.Collect(t.Context())
		require.NoError(t, err)
		assert.EqualValues(t, 4, calls.Load())
		time.Sleep(reportTTL)
		_, err = c.Collect(t.Context())
		require.NoError(t, err)
		assert.EqualValues(t, 8, calls.Load())
	})
}

// Guards against a collection over a large fleet that exceeds its share of the bandwidth for control
// traffic.
func TestCollectionIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, received := newTestCollector(100, 200)
		start := time.Now()
		_, err := c.Collect(t.Context())
		require.NoError(t, err)
		seconds := time.Since(start).Seconds()
		assert.LessOrEqual(t, float64(received.Load()), burstBytes+seconds*bytesPerSecond+burn.MaxEncodedBytes)
		assert.Greater(t, received.Load(), int64(burstBytes), "the test must exceed the burst")
		t.Logf("%d bytes in %.0f s", received.Load(), seconds)
	})
}

// Guards against a format that fails to render or omits workspaces, and against HTML injection by the
// cause of a request.
func TestHandlerFormats(t *testing.T) {
	c, _, _ := newTestCollector(3, 30)
	for path, want := range map[string]string{PathHTML: "<svg", PathJSON: `"workspaces"`, PathText: "budget left"} {
		w := httptest.NewRecorder()
		c.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		assert.Equal(t, 200, w.Code)
		assert.Contains(t, w.Body.String(), want)
		assert.Contains(t, w.Body.String(), "w7")
		if path == PathHTML {
			assert.NotContains(t, w.Body.String(), "<late>")
			assert.Equal(t, 3, bytes.Count(w.Body.Bytes(), []byte("<svg")))
		}
	}
	var r burn.Report
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest("GET", PathJSON, nil))
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r))
	assert.Len(t, r.Workspaces, 30)
}

// Guards against a page that fails to render before the first request, and against a report without
// data in place of an error before the first configuration.
func TestEmptyReport(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, HTML(&page, burn.NewMerger(testConfig(1)).Report(time.Now(), nil)))
	c := NewCollector(Options{Board: blackboard.New(), Now: time.Now})
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest("GET", PathHTML, nil))
	assert.Equal(t, 503, w.Code)
	assert.Contains(t, w.Body.String(), "platform_unavailable")
}

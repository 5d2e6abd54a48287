package hostile

import (
	"os"
	"testing"
	"time"
)

// Limits of the node and the crowd of TestMeasureCrowds.
const (
	measureVariable  = "CASSIAWALL_MEASURE_CROWDS"
	measuredMemoryMB = 120
	measuredFiles    = 2940
	measuredClients  = 2900
	// measuredTargetMB is the resident memory that the node must stay under.
	measuredTargetMB = 100
	// measuredSlowClients is the crowd of TestMeasureSlowCrowds.
	measuredSlowClients = 1500
)

// TestMeasureCrowds prints what a node of 120 MB takes with 2,900 connections of each kind. It is run by hand, because it loads a
// machine for minutes.
func TestMeasureCrowds(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + "=1 to measure")
	}
	for _, kinds := range [][]kind{
		{idleConnections}, {unterminatedHeads}, {endlessFields}, {endlessLine}, {endlessField}, {emptyLines}, {lineFeeds}, {chunkExtensions},
		{trailers}, {slowTrailers}, {stalledBodies}, {smallStalled}, {unreadStreams}, {unterminatedHeads, stalledBodies}, {endlessFields, unreadStreams},
	} {
		name := kinds[0].name
		if len(kinds) > 1 {
			name += " and " + kinds[1].name
		}
		t.Run(name, func(t *testing.T) {
			s := startNode(t, measuredMemoryMB, measuredFiles)
			for _, k := range kinds {
				crowd(t, s, s.clients, measuredClients/len(kinds), k)
			}
			time.Sleep(3 * holdTime)
			s.withstands(t, bounds{memoryMB: measuredTargetMB, descriptors: measuredFiles})
		})
	}
}

// TestMeasureSlowCrowds prints what a slow node of 88 MB holds, and the system for it, with 1,500 connections of each kind.
func TestMeasureSlowCrowds(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + "=1 to measure")
	}
	for _, k := range []kind{
		heads, endlessHeads, emptyLinesAgain, largestBodies.whole, largestBodies.pieces, largestBodies.stalled, largestBodies.largeChunks,
		largestBodies.oneChunk, largestBodies.smallChunks, largestBodies.wholeChunked, pipelinedStreams,
	} {
		t.Run(k.name, func(t *testing.T) {
			s := startSlowNode(t)
			s.withstandsSlowly(t, slowBounds, attackers{kind: k, address: s.clients, clients: measuredSlowClients})
		})
	}
}

// Package soak runs real nodes as separate processes against stand-ins of the users' platform, injects
// random faults from outside of them and checks what clients and engines see.
//
//	go test ./test/soak -seeds 50 -first 1
//
// plays 50 seeds from the first. Without arguments it plays the seeds that ever failed and one more.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform/standin"
)

var (
	seeds  = flag.Int("seeds", 0, "number of seeds to play instead of the usual ones")
	first  = flag.Uint64("first", 1, "first of these seeds")
	length = flag.Duration("length", 8*time.Second, "time in which faults begin")
	keep   = flag.String("keep", "", "directory for the logs of seeds with findings")
)

// regressions are the seeds that ever failed, with their cause.
var regressions = map[uint64]string{
	4: "a stopped holder of the lease did not tell of its release: 7 s without orders to engines",
}

// usual is the seed that each run of the tests plays.
const usual = 1

// Guards against broken promises under overlapping faults: mixed-up or incomplete answers, requests that
// run twice or after a refusal, wrong workspaces, stale cache, orders of two holders, and nodes that do
// not recover.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cassiawall-node")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "cassiawall.example/cassiawall/cmd/cassiawall-node").CombinedOutput()
	require.NoError(t, err, string(out))
	played := []uint64{usual}
	for seed := range regressions {
		played = append(played, seed)
	}
	if *seeds > 0 {
		played = nil
		for i := range *seeds {
			played = append(played, *first+uint64(i))
		}
	}
	slices.Sort(played)
	for _, seed := range played {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			play(t, binary, seed)
		})
	}
}

// play runs a fleet through a storm of faults, then through planned work alone.
func play(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	drawn := schedule(random, *length)
	f := newFleet(t, binary)
	defer f.stop()
	for _, m := range f.members {
		require.NoError(t, f.start(m))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchReady(ctx)
	require.True(t, f.waitReady(), "nodes are not ready")
	all := &traffic{}
	trafficCtx, endTraffic := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { all.run(trafficCtx, f, seed) })
	f.inject(drawn)
	if !f.waitReady() {
		f.find("nodes are not ready %v after all faults", startLimit)
	}
	time.Sleep(standin.ReconnectGrace + standin.RecoveryBound/4)
	planned(f, all, random)
	endTraffic()
	group.Wait()
	checkAlways(f, all.since(time.Time{}))
	for _, m := range f.members {
		m.mu.Lock()
		if text := m.stderr.String(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") || strings.Contains(text, "fatal error:") {
			f.find("%s: %s", m.settings.Name, tail(text))
		}
		m.mu.Unlock()
	}
	t.Log(summary(f, all.since(time.Time{})))
	report(t, f, seed, drawn)
}

// summary tells how much happened.
func summary(f *fleet, all []sent) string {
	statuses := map[int]int{}
	for _, s := range all {
		statuses[s.reply.Status]++
	}
	runs := 0
	for _, list := range f.journal.Executions() {
		runs += len(list)
	}
	return fmt.Sprintf("%d requests, statuses %v (0: no answer), %d runs, %d orders, %d calls to the store", len(all), statuses, runs,
		len(f.journal.Orders()), f.store.Calls())
}

// planned does the operator's work on a calm fleet: new weights, a new configuration, an engine that
// leaves and a node that is stopped, at the same time.
func planned(f *fleet, all *traffic, random *rand.Rand) {
	calm := time.Now()
	leaving := f.backend(random.IntN(engineCount))
	f.nameVersion()
	named, version := time.Now(), f.version
	extra := f.configure()
	configured := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		announced := f.replaceEngine(leaving)
		if !announced.IsZero() {
			checkDrained(f, leaving.engine.ID, announced)
		}
	})
	group.Go(func() { f.restart(f.members[random.IntN(nodeCount)], syscall.SIGTERM) })
	group.Wait()
	time.Sleep(time.Until(named.Add(standin.VersionBound + time.Second)))
	checkCalm(f, all.since(calm))
	checkRoute(f, all.since(configured.Add(standin.ConfigBound)), extra)
	checkVersions(f, named, version)
}

// report fails the test if there are findings, and shows the schedule with them.
func report(t *testing.T, f *fleet, seed uint64, drawn []fault) {
	if len(f.findings) == 0 {
		return
	}
	for _, x := range drawn {
		t.Log(x)
	}
	if *keep != "" {
		for _, m := range f.members {
			text, err := os.ReadFile(m.logPath)
			if err == nil {
				err = os.WriteFile(filepath.Join(*keep, fmt.Sprintf("seed-%d-%s.log", seed, m.settings.Name)), text, 0o600)
			}
			if err != nil {
				t.Log(err)
			}
		}
	}
	for _, x := range f.findings[:min(len(f.findings), 20)] {
		t.Error(x)
	}
	t.Errorf("seed %d: %d findings", seed, len(f.findings))
}

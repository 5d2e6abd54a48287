package weights

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// takeover is a fleet of a leader and a node that takes the lease after it.
type takeover struct {
	*fleet
	leader, successor *Controller
	stopLeader        context.CancelFunc
}

// runTakeover starts the leader, and a second later the successor, and runs a test. prepare, if it is not nil, is called
// before the leader starts.
func runTakeover(t *testing.T, prepare func(x *takeover), test func(t *testing.T, x *takeover)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		x := &takeover{fleet: f, leader: f.node("a"), successor: f.node("b")}
		if prepare != nil {
			prepare(x)
		}
		x.stopLeader = run(ctx, &wg, x.leader)
		time.Sleep(time.Second)
		run(ctx, &wg, x.successor)
		test(t, x)
		cancel()
		wg.Wait()
	})
}

// announce passes the leader's record of the lease to the successor.
func (x *takeover) announce() {
	value, version := x.leader.LeaseRecord()
	x.successor.ObserveLease(value, version, time.Now())
}

// announceRepeatedly passes on the record as the leader's heartbeats do.
func (x *takeover) announceRepeatedly(count int) {
	for range count {
		time.Sleep(200 * time.Millisecond)
		x.announce()
	}
}

// crashLeader ends the leader without a release, since the store does not respond for a time. It returns the end of that time.
func (x *takeover) crashLeader(outage time.Duration) time.Time {
	x.store.set(true, false)
	x.stopLeader()
	time.Sleep(outage)
	x.store.set(false, false)
	return time.Now()
}

// awaitSuccessor waits until the successor holds the lease. It calls check, if it is not nil, while it does not.
func (x *takeover) awaitSuccessor(check func()) {
	for !x.successor.HoldsLease() {
		if check != nil {
			check()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a slow takeover after the leader fails: a node that observes the renewals in the leader's
// heartbeats counts the expiry of the lease from the last of them.
func TestObservedLeaseShortensTakeover(t *testing.T) {
	runTakeover(t, nil, func(t *testing.T, x *takeover) {
		x.announceRepeatedly(40)
		calls := x.store.writes
		storeRecoveredAt := x.crashLeader(900 * time.Millisecond)
		x.awaitSuccessor(nil)
		timing := LeaseTiming(3 * time.Second)
		assert.LessOrEqual(t, time.Since(storeRecoveredAt), timing.TTL+timing.MaxDeliveryDelay)
		assert.Positive(t, calls)
	})
}

// Guards against a takeover that takes twice its time if the leader fails between a renewal and the heartbeat that announces
// it.
func TestUnannouncedRenewalDoesNotDoubleTheTakeover(t *testing.T) {
	runTakeover(t, nil, func(t *testing.T, x *takeover) {
		x.announceRepeatedly(10)
		time.Sleep(700 * time.Millisecond)
		failedAt := x.crashLeader(100 * time.Millisecond)
		x.successor.RecheckLease()
		x.awaitSuccessor(nil)
		timing := LeaseTiming(3 * time.Second)
		assert.LessOrEqual(t, time.Since(failedAt), timing.TTL+timing.MaxDeliveryDelay+2*decisionInterval)
	})
}

// Guards against a long time without a leader after a planned stop: the stopped leader sends the release to
// the other nodes and acts as leader until another node holds the lease.
func TestStoppedLeaderHandsOver(t *testing.T) {
	notifications := 0
	prepare := func(x *takeover) {
		x.leader.opt.AnnounceLease = func() {
			notifications++
			x.announce()
		}
	}
	runTakeover(t, prepare, func(t *testing.T, x *takeover) {
		time.Sleep(time.Second)
		synctest.Wait()
		require.True(t, x.leader.HoldsLease())
		require.Equal(t, 1, notifications, "the leader announces that it has taken the lease")
		x.stopLeader()
		stopped := time.Now()
		synctest.Wait()
		require.Equal(t, 2, notifications, "and that it has released it")
		assert.False(t, x.leader.HoldsLease())
		x.awaitSuccessor(func() { assert.True(t, x.leader.ActingLeader()) })
		assert.LessOrEqual(t, time.Since(stopped), LeaseTiming(3*time.Second).HandoverDelay+2*decisionInterval)
		value, version := x.successor.LeaseRecord()
		x.leader.ObserveLease(value, version, time.Now())
		assert.False(t, x.leader.ActingLeader())
	})
}

// Guards against a takeover that takes more than twice its time if the response to the release of a stopped leader is lost.
func TestReleaseWithoutResponseIsRepeated(t *testing.T) {
	prepare := func(x *takeover) { x.leader.opt.AnnounceLease = x.announce }
	runTakeover(t, prepare, func(t *testing.T, x *takeover) {
		time.Sleep(time.Second)
		require.True(t, x.leader.HoldsLease())
		x.store.set(false, true)
		x.stopLeader()
		time.Sleep(100 * time.Millisecond)
		x.store.set(false, false)
		stopped := time.Now()
		x.awaitSuccessor(nil)
		assert.LessOrEqual(t, time.Since(stopped), LeaseTiming(3*time.Second).HandoverDelay+5*decisionInterval)
	})
}

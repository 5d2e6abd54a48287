package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/objects"
)

// leaseName returns the name of the lease object in an era. Each era has its own object: a write whose condition is from an
// earlier era, and that reaches the restored store late, cannot change the lease.
func leaseName(era int64) string {
	if era == 0 {
		return leaseObjectName
	}
	return fmt.Sprintf("%s-%d", leaseObjectName, era)
}

// HoldsLease reports whether this node holds the lease and may send orders.
func (c *Controller) HoldsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsLease
}

// ActingLeader reports whether this node sends the leader heartbeats: while it holds the lease, and after
// it has released the lease until another node takes it.
func (c *Controller) ActingLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsLease || c.lease.Released()
}

// Leader returns the peer address of the last known lease holder, or "" if the lease is free or unknown.
func (c *Controller) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holder()
}

// LeaseRecord returns the last known lease record in its stored form, and the version of the object.
func (c *Controller) LeaseRecord() ([]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, version := c.lease.LastRecord()
	value, err := json.Marshal(record)
	if err != nil {
		// A record holds only strings, numbers and a flag.
		panic(err)
	}
	return value, version
}

// LeaseVersion returns the version of the last known lease record.
func (c *Controller) LeaseVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, version := c.lease.LastRecord()
	return version
}

// ObserveLease applies a lease record in stored form that the leader has sent, as if it had been read
// from the store. A record that does not decode is logged and ignored.
func (c *Controller) ObserveLease(value []byte, version uint64, now time.Time) {
	record, err := lease.DecodeRecord(value)
	if err != nil {
		event.LeaseDamaged.Emit(c.opt.Logger, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.ObserveRemote(record, version, now)
}

// RecheckLease reads the lease again if another node holds it. It is for a leader that has fallen silent.
func (c *Controller) RecheckLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Recheck()
}

// advanceLease starts the next call to acquire, renew or release the lease, if one is due. desired is
// set if this node should hold the lease.
func (c *Controller) advanceLease(ctx context.Context, desired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lease.CallInProgress() && !c.enterEraLocked() {
		return
	}
	action := c.lease.Next(time.Now(), desired, 0)
	c.updateHeldLocked()
	if action.Kind == lease.None {
		return
	}
	name := leaseName(c.era)
	c.start(func() {
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		defer cancel()
		var version uint64
		var object objects.Object
		var err error
		if action.Kind == lease.Read {
			object, err = c.opt.Leases.Get(callCtx, name)
		} else {
			version, err = c.opt.Leases.Put(callCtx, name, action.Value, action.IfVersion)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if era, _ := c.opt.Leases.Era(); era != c.era {
			// The call may have reached the restored store. What it did there concerns the object of an earlier era.
			c.enterEraLocked()
		} else if action.Kind == lease.Write {
			c.lease.WriteDone(version, err, time.Now())
		} else if damaged := c.lease.ReadDone(object, err, time.Now()); damaged != nil {
			event.LeaseDamaged.Emit(c.opt.Logger, "object", name, "error", damaged.Error())
		}
		c.updateHeldLocked()
	})
}

// enterEraLocked adapts the lease to the era of the store. It returns false while the era is not known.
func (c *Controller) enterEraLocked() bool {
	era, known := c.opt.Leases.Era()
	if !known || c.eraKnown && era == c.era {
		return known
	}
	minToken := uint64(era) * tokensPerEra
	switch {
	case c.eraKnown:
		event.LeaseStoreRestored.Emit(c.opt.Logger, "era", era, "held", c.holdsLease)
		c.lease.Restored(uint64(objects.Position(era, 0)), minToken, time.Now())
	case era > 0:
		c.lease.SetRecordMayBeLost(minToken)
	}
	c.era, c.eraKnown = era, true
	return true
}

// updateHeldLocked records and logs whether this node holds the lease. A change discards the records of
// orders, because another leader may have sent orders in the meantime.
func (c *Controller) updateHeldLocked() {
	fencingToken, held := c.lease.MaySend(time.Now())
	if held == c.holdsLease {
		return
	}
	c.holdsLease = held
	clear(c.engineOrders)
	if held {
		event.LeaseTaken.Emit(c.opt.Logger, "fencing", fencingToken)
		// The other nodes compete for the lease until they learn who holds it.
		c.start(c.opt.AnnounceLease)
	} else {
		event.LeaseLost.Emit(c.opt.Logger, "holder", c.lease.Holder())
	}
}

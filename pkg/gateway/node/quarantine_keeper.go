package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/weights"
)

const (
	// quarantineObjectName is the name of the object that holds the quarantined parts.
	quarantineObjectName = "quarantine/parts"
	// maxStoredEvidenceBytes bounds that object, to about 60 parts with eight crashes each.
	maxStoredEvidenceBytes = 4096
	// keepInterval is the time between checks for changes, and keepRetryPause the pause after a failed call to
	// the store.
	keepInterval   = 200 * time.Millisecond
	keepRetryPause = 2 * time.Second
	// minWriteGap is the minimum time between two writes.
	minWriteGap = 2 * time.Second
	// maxClockLead is the time by which the clock of the writer may be ahead. With a larger one, the age of the evidence
	// is not known, and an old quarantine would be taken for a new one.
	maxClockLead = 10 * time.Second
	// keepCallTimeout bounds one call.
	keepCallTimeout = time.Second
)

// storedQuarantine is the content of the object.
type storedQuarantine struct {
	// Evidence is encoded by package quarantine as of the Unix time Written, in milliseconds.
	Evidence []byte `json:"evidence"`
	Written  int64  `json:"written"`
}

// quarantineKeeper keeps the quarantined parts in the platform's store, so that a loss of power of all nodes does not
// cost further engines. The leader reads the object once, when it takes the lease, and writes it when the
// parts change. All other nodes learn them from its messages. After a loss of power it takes seconds until a node
// holds the lease; the seeds, which the other nodes ask first, therefore also read the object when they start.
type quarantineKeeper struct {
	store      weights.LeaseStore
	quarantine *forward.Quarantine
	holdsLease func() bool
	// readsAtStart is set until a seed has read the object after its start.
	readsAtStart bool
	// announce is called after parts have been read.
	announce func()
	logger   *slog.Logger

	// read is set once the object was read since this node has taken the lease. version is its version, and stored
	// the parts that it holds.
	read    bool
	version uint64
	// era is the era of the store that read belongs to.
	era    int64
	stored []quarantine.Part
	// pausedUntil is the time until which no call is made, after a write or a failed call.
	pausedUntil time.Time
}

// step makes the call that is due, if any.
func (k *quarantineKeeper) step(ctx context.Context, now time.Time) {
	held := k.holdsLease()
	era, _ := k.store.Era()
	if !held || era != k.era {
		// Another leader may have written the object, or the store may have been restored from a copy.
		k.read, k.era = false, era
	}
	if !held && !k.readsAtStart || now.Before(k.pausedUntil) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepCallTimeout)
	defer cancel()
	var err error
	if !k.read {
		err = k.readObject(ctx, now)
	} else if parts := partsOf(k.quarantine.Suspects()); !slices.Equal(parts, k.stored) {
		err = k.writeObject(ctx, parts, now)
	}
	if err != nil {
		k.pausedUntil = now.Add(keepRetryPause)
		event.QuarantineNotKept.Emit(k.logger, "object", quarantineObjectName, "error", err.Error())
	}
}

func (k *quarantineKeeper) readObject(ctx context.Context, now time.Time) error {
	object, err := k.store.Get(ctx, quarantineObjectName)
	if fault.Is(err, fault.NotFound) {
		k.read, k.version, k.stored, k.readsAtStart = true, 0, nil, false
		return nil
	}
	if err != nil {
		return err
	}
	k.read, k.version, k.stored, k.readsAtStart = true, object.Version, nil, false
	var stored storedQuarantine
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		// The next write replaces a damaged object.
		return err
	}
	age := now.Sub(time.UnixMilli(stored.Written))
	if age < -maxClockLead {
		return fmt.Errorf("evidence was written %v in the future; check the clocks of this VM and of the writer", -age)
	}
	age = max(age, 0)
	if k.quarantine.Merge(stored.Evidence, true, age) {
		k.announce()
	}
	kept := quarantine.NewTable()
	kept.Merge(stored.Evidence, true, age, now)
	k.stored = partsOf(kept.Suspects())
	return nil
}

func partsOf(suspects []quarantine.Suspect) []quarantine.Part {
	parts := make([]quarantine.Part, len(suspects))
	for i, s := range suspects {
		parts[i] = s.Part
	}
	return parts
}

func (k *quarantineKeeper) writeObject(ctx context.Context, parts []quarantine.Part, now time.Time) error {
	evidence, _ := k.quarantine.Encode(quarantine.Quarantined, 0, maxStoredEvidenceBytes)
	value, err := json.Marshal(storedQuarantine{Evidence: evidence, Written: now.UnixMilli()})
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, quarantineObjectName, value, k.version)
	if err != nil {
		// Another leader may have written the object, or the store may have executed this call.
		k.read = false
		return err
	}
	k.version, k.stored, k.pausedUntil = version, parts, now.Add(minWriteGap)
	return nil
}

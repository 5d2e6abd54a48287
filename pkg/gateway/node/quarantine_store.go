package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/weights"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// quarantineObjectName is the name of the object in the store that holds the evidence about quarantined parts.
	quarantineObjectName = "quarantine/parts"
	// quarantineSyncInterval is the time between checks whether the object must be read or written.
	quarantineSyncInterval = 200 * time.Millisecond
	// minQuarantineSaveGap is the minimum time between two writes.
	minQuarantineSaveGap = 2 * time.Second
	// quarantineCallTimeout bounds one call of the store, and quarantineRetryPause is the pause after a failed one.
	quarantineCallTimeout = time.Second
	quarantineRetryPause  = time.Second
	// maxSavedEvidenceBytes bounds the saved evidence: about 500 parts.
	maxSavedEvidenceBytes = 32 << 10
)

// savedEvidence is the stored form of the evidence about quarantined parts.
type savedEvidence struct {
	// SavedAtMS is the wall clock time of the writer in Unix milliseconds. Ages in Evidence count from it.
	SavedAtMS int64 `json:"savedAtMs"`
	// Evidence is encoded by quarantine.Table.
	Evidence []byte `json:"evidence"`
}

// quarantineEvidence is the part of a forward.Quarantine that is kept in the store.
type quarantineEvidence interface {
	Encode(scope quarantine.Scope, after uint64, maxBytes int) (data []byte, changes uint64)
	Merge(data []byte, relay bool, age time.Duration) (changed bool)
	// Generation returns a number that changes with the quarantined parts. It is 0 before the first.
	Generation() uint64
}

// quarantineStore keeps the evidence about quarantined parts in the platform's store, so that a fleet of which all nodes
// have lost power need not gather it again at the cost of engines. It calls the store only to read the evidence on a
// node that starts without a leader, and on the leader when the quarantined parts have changed.
type quarantineStore struct {
	evidence quarantineEvidence
	store    weights.LeaseStore
	// isLeader reports whether this node holds the lease, hasLeader whether another node sends it heartbeats, which
	// contain the evidence, and mayCall whether the store may be called.
	isLeader, hasLeader, mayCall func() bool
	logger                       *slog.Logger

	loaded bool
	// saved is the generation that was read or written last, at savedAt.
	saved   uint64
	savedAt time.Time
}

// run reads and writes the evidence until ctx ends.
func (s *quarantineStore) run(ctx context.Context) {
	for pause := quarantineSyncInterval; wait.Pause(ctx, pause); {
		pause = quarantineSyncInterval
		if err := s.sync(ctx); err != nil {
			event.EvidenceNotSynced.Emit(s.logger, "loaded", s.loaded, "error", err.Error())
			pause = quarantineRetryPause
		}
	}
}

// sync makes the call that is due, if any.
func (s *quarantineStore) sync(ctx context.Context) error {
	if !s.mayCall() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	switch {
	case !s.loaded && !s.isLeader() && s.hasLeader():
		s.loaded = true
	case !s.loaded:
		_, err := s.load(ctx)
		return err
	case s.isLeader() && s.evidence.Generation() != s.saved && (s.savedAt.IsZero() || clock.Since(s.savedAt) >= minQuarantineSaveGap):
		return s.save(ctx)
	}
	return nil
}

// load merges the saved evidence and returns the version of its object, or 0 if there is none.
func (s *quarantineStore) load(ctx context.Context) (version uint64, err error) {
	object, err := s.store.Get(ctx, quarantineObjectName)
	if fault.Is(err, fault.NotFound) {
		s.loaded = true
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.loaded = true
	var saved savedEvidence
	if err := json.Unmarshal(object.Value, &saved); err != nil {
		// The next write replaces it.
		event.EntrySkipped.Emit(s.logger, "name", quarantineObjectName, "version", object.Version, "error", err.Error())
		return object.Version, nil
	}
	// A wall clock that was set back must not make the evidence newer than it is now.
	s.evidence.Merge(saved.Evidence, true, max(0, time.Since(time.UnixMilli(saved.SavedAtMS))))
	return object.Version, nil
}

// save merges what another leader has saved and writes the evidence.
func (s *quarantineStore) save(ctx context.Context) error {
	version, err := s.load(ctx)
	if err != nil {
		return err
	}
	generation := s.evidence.Generation()
	data, _ := s.evidence.Encode(quarantine.All, 0, maxSavedEvidenceBytes)
	value, err := json.Marshal(savedEvidence{SavedAtMS: time.Now().UnixMilli(), Evidence: data})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode evidence about prompt parts")
	}
	if _, err := s.store.Put(ctx, quarantineObjectName, value, version); err != nil {
		return err
	}
	s.saved, s.savedAt = generation, clock.Now()
	return nil
}

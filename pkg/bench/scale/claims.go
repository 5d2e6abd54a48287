package scale

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

func init() {
	Register(Role{
		Name:       "claims",
		SizeUnit:   "claims in a journal",
		TargetSize: 2000,
		Sizes:      []int{250, 500, 1000, 2000},
		Measure:    measureClaims,
	})
}

// claimsPerWrite is the number of claims in one conditional update of the journal.
const claimsPerWrite = 8

// measureClaims measures the size of a shard's journal with a number of claims, and the CPU time of
// one conditional update of it. A claim makes a request run at most once; the journal is the object
// that stores the claims of a shard.
func measureClaims(_ context.Context, size int) (map[string]float64, error) {
	now := time.Unix(1, 0)
	writer := claims.NewWriter(0)
	store := memoryStore{}
	for i := 0; i < size; i += claimsPerWrite {
		if err := store.submitAndWrite(writer, i, now); err != nil {
			return nil, err
		}
	}
	const updates = 20
	cpuBefore := cpuTime()
	for i := range updates {
		if err := store.submitAndWrite(writer, size+i*claimsPerWrite, now); err != nil {
			return nil, err
		}
	}
	return map[string]float64{
		"journal_bytes": float64(len(store[claims.ObjectName(0)].Value)),
		"update_cpu_ms": (cpuTime() - cpuBefore).Seconds() * 1000 / updates,
	}, nil
}

// memoryStore is an object API in memory, without faults and network calls.
type memoryStore map[string]objects.Object

// submitAndWrite submits claimsPerWrite claims and runs the writer until it is idle. first is the
// number in the first claim's key.
func (m memoryStore) submitAndWrite(writer *claims.Writer, first int, now time.Time) error {
	for i := range claimsPerWrite {
		key := claims.NewKey("workspace-12345", "ratiba /book", fmt.Sprint("booking-", first+i))
		writer.Submit(claims.Op{Claim: &claims.ClaimOp{Key: key, Attempt: "0123456789abcdef0123456789abcdef", BodyHash: sha256.Sum256(key[:]),
			Retention: 24 * time.Hour, Deadline: 15 * time.Second}}, now)
	}
	for !writer.Idle() {
		action, _ := writer.Next(now)
		if err := m.perform(writer, &action, now); err != nil {
			return err
		}
	}
	return nil
}

// perform performs one action that the writer requests and reports the result to the writer.
func (m memoryStore) perform(writer *claims.Writer, action *claims.Action, now time.Time) error {
	stored, ok := m[action.Name]
	switch action.Kind {
	case claims.Read:
		var missing error
		if !ok {
			missing = fault.New(fault.NotFound, "no object %s", action.Name)
		}
		_, err := writer.ReadDone(stored, missing, now)
		return err
	case claims.Write:
		stored = objects.Object{Name: action.Name, Version: stored.Version + 1, Value: action.Value}
		m[action.Name] = stored
		writer.WriteDone(stored.Version, nil, now)
	case claims.Delete:
		delete(m, action.Name)
		writer.DeleteDone()
	default:
		return fault.New(fault.Internal, "claim writer requests no action (kind %v) while claims are pending", action.Kind)
	}
	return nil
}

// Package objects defines the interface to the platform's object API and its HTTP adapter.
package objects

import "context"

// Object is a stored value with its version.
type Object struct {
	Name string `json:"name"`
	// Version grows with each change of any object and is never used twice.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted marks a deletion in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Store is the platform's object API. Errors are of package fault: Conflict, NotFound and
// PlatformUnavailable. After PlatformUnavailable with fault.Unknown a write may have taken
// effect; the caller reads back to find out.
type Store interface {
	Get(ctx context.Context, name string) (Object, error)
	// Put stores value if the current version equals ifVersion. 0 means that the object must
	// not exist. It returns the new version.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	Delete(ctx context.Context, name string, ifVersion uint64) error
	// List returns the objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits for changes after a version, until ctx ends or some arrive. Delivery can be
	// stale or repeated, so receivers compare versions.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}

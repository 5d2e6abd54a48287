// Package objects defines the interface to the platform's object API, a versioned key-value store,
// and its HTTP client.
package objects

import "context"

// Object is a stored value with its version.
type Object struct {
	Name string `json:"name"`
	// Version increases with each change of any object and is never reused.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted marks a deletion in the result of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Store is the platform's object API. Errors are of package fault: Conflict, NotFound and
// PlatformUnavailable. After PlatformUnavailable with fault.Unknown a write may have taken
// effect; the caller must read the object to find out.
type Store interface {
	Get(ctx context.Context, name string) (Object, error)
	// Put stores value if the current version equals ifVersion. 0 means that the object must
	// not exist. It returns the new version.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	Delete(ctx context.Context, name string, ifVersion uint64) error
	// List returns the objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until objects whose names start with prefix have changed after the version, or
	// ctx ends. Changes can be outdated or delivered repeatedly, so callers compare versions.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}

package objects

// A store may be restored from a copy that is some seconds old. What was written since the copy is lost, and its revisions
// are given out again. An era is the number of times that a store has been restored. A position orders the revisions of all
// eras; in era 0 it equals the revision.

// revisionBits is the number of bits of a revision in a position: a million changes a second for half a year.
const revisionBits = 44

// Position returns the position of a revision in an era.
func Position(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position >> revisionBits }

// RevisionOf returns the revision of a position, as the store counts it.
func RevisionOf(position int64) int64 { return position & (1<<revisionBits - 1) }

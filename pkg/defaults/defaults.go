// Package defaults sets the default values of fields that are not set, and has bounds that several clients share.
package defaults

// MaxResponseHeadBytes bounds the head of an HTTP response. net/http allows 10 MB, which a few dozen faulty servers could
// multiply to more than a node's memory.
const MaxResponseHeadBytes = 64 << 10

// Set stores value in field if field has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

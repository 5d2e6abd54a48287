// Package defaults fills in settings that were left out.
package defaults

// Set stores value in field if field has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

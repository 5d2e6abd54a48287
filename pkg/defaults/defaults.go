// Package defaults sets the default values of fields that are not set.
package defaults

// Set stores value in field if field has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

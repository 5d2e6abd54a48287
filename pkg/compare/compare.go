// Package compare holds comparison functions that package cmp lacks.
package compare

// Bool orders false before true. It returns -1, 0 or 1, like cmp.Compare.
func Bool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxNesting bounds the lists and maps in each other. Messages have six levels.
const maxNesting = 16

var (
	errLength  = errors.New("a stated length exceeds the data")
	errNesting = fmt.Errorf("more than %d levels of lists and maps", maxNesting)
)

// checkLengths checks the first values of msgpack data, or as many as there are, before they are decoded. The decoder
// allocates lists, maps and texts by their stated length, up to 4 Gi entries, before it reads them. Its Skip cannot serve
// as the check: it recurses for each level of nesting without bound.
func checkLengths(data []byte, values int) error {
	for range values {
		if len(data) == 0 {
			return nil
		}
		var err error
		if data, err = skipValue(data); err != nil {
			return err
		}
	}
	return nil
}

// skipValue returns the data after the first value.
func skipValue(data []byte) ([]byte, error) {
	// left holds the number of values that remain in each list and map that has begun. Each takes a byte at least.
	var left [maxNesting + 1]int
	depth := 0
	left[0] = 1
	for {
		for left[depth] == 0 {
			if depth == 0 {
				return data, nil
			}
			depth--
		}
		left[depth]--
		header, ok := readHeader(data)
		if !ok || header.size > len(data) || header.values > len(data)-header.size {
			return nil, errLength
		}
		data = data[header.size:]
		if header.values > 0 {
			if depth++; depth > maxNesting {
				return nil, errNesting
			}
			left[depth] = header.values
		}
	}
}

// valueHeader describes a value: the size of its code, length and content without the values in it, and their number.
type valueHeader struct{ size, values int }

// readHeader reads the header of the first value. Codes are those of the msgpack specification.
func readHeader(data []byte) (h valueHeader, ok bool) {
	if len(data) == 0 {
		return h, false
	}
	code := data[0]
	length := func(width int) int {
		if len(data) <= width {
			ok = false
			return 0
		}
		switch width {
		case 1:
			return int(data[1])
		case 2:
			return int(binary.BigEndian.Uint16(data[1:]))
		}
		return int(binary.BigEndian.Uint32(data[1:]))
	}
	ok = true
	switch {
	case code <= 0x7f || code >= 0xe0: // small integers
		h.size = 1
	case code <= 0x8f: // small map
		h = valueHeader{1, 2 * int(code&0x0f)}
	case code <= 0x9f: // small list
		h = valueHeader{1, int(code & 0x0f)}
	case code <= 0xbf: // short text
		h.size = 1 + int(code&0x1f)
	case code <= 0xc3: // nil, unused, false, true
		h.size = 1
	case code <= 0xc6: // bytes
		width := 1 << (code - 0xc4)
		h.size = 1 + width + length(width)
	case code <= 0xc9: // extension, with a type
		width := 1 << (code - 0xc7)
		h.size = 2 + width + length(width)
	case code <= 0xcb: // floats of 4 and 8 bytes
		h.size = 1 + 4<<(code-0xca)
	case code <= 0xcf: // unsigned integers of 1 to 8 bytes
		h.size = 1 + 1<<(code-0xcc)
	case code <= 0xd3: // signed integers of 1 to 8 bytes
		h.size = 1 + 1<<(code-0xd0)
	case code <= 0xd8: // extensions of 1 to 16 bytes, with a type
		h.size = 2 + 1<<(code-0xd4)
	case code <= 0xdb: // text
		width := 1 << (code - 0xd9)
		h.size = 1 + width + length(width)
	case code <= 0xdd: // list
		width := 2 << (code - 0xdc)
		h = valueHeader{1 + width, length(width)}
	default: // map
		width := 2 << (code - 0xde)
		h = valueHeader{1 + width, 2 * length(width)}
	}
	return h, ok
}

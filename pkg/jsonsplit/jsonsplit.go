// Package jsonsplit splits a JSON array or object into the raw values of its elements or fields, without decoding these. A
// list of which one entry cannot be decoded, because it is nested too deeply or has a number that is too large, can then be
// decoded except for that entry: package encoding/json rejects the whole list.
package jsonsplit

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errTruncated is returned for text that ends within a value.
var errTruncated = errors.New("the JSON text ends within a value")

// Array returns the elements of a JSON array. null has none.
func Array(data []byte) ([]json.RawMessage, error) {
	s := splitter{data: data}
	if isNull, err := s.open('['); isNull || err != nil {
		return nil, err
	}
	var elements []json.RawMessage
	for first := true; ; first = false {
		done, err := s.next(']', first)
		if done || err != nil {
			return elements, err
		}
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		elements = append(elements, value)
	}
}

// Object returns the values of the fields of a JSON object. Of fields of the same name the last one counts.
func Object(data []byte) (map[string]json.RawMessage, error) {
	s := splitter{data: data}
	fields := map[string]json.RawMessage{}
	if isNull, err := s.open('{'); isNull || err != nil {
		return nil, err
	}
	for first := true; ; first = false {
		done, err := s.next('}', first)
		if done || err != nil {
			return fields, err
		}
		text, err := s.value()
		if err != nil {
			return nil, err
		}
		var name string
		if err := json.Unmarshal(text, &name); err != nil {
			return nil, fmt.Errorf("invalid name of a field: %w", err)
		}
		if err := s.expect(':'); err != nil {
			return nil, err
		}
		if fields[name], err = s.value(); err != nil {
			return nil, err
		}
	}
}

// splitter reads JSON text from a position on.
type splitter struct {
	data []byte
	at   int
}

// open reads the begin of an array or object, or null.
func (s *splitter) open(begin byte) (isNull bool, err error) {
	s.skipSpace()
	if string(s.data[s.at:min(s.at+4, len(s.data))]) == "null" {
		return true, nil
	}
	return false, s.expect(begin)
}

// next reads the end of an array or object, which it reports by done, or the comma before its next element.
func (s *splitter) next(end byte, first bool) (done bool, err error) {
	s.skipSpace()
	if s.at < len(s.data) && s.data[s.at] == end {
		s.at++
		return true, nil
	}
	if first {
		return false, nil
	}
	return false, s.expect(',')
}

func (s *splitter) expect(c byte) error {
	s.skipSpace()
	if s.at >= len(s.data) {
		return errTruncated
	}
	if s.data[s.at] != c {
		return fmt.Errorf("expected %q at offset %d of the JSON text, found %q", c, s.at, s.data[s.at])
	}
	s.at++
	return nil
}

func (s *splitter) skipSpace() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// value reads a value and returns its text. It checks only that brackets and strings end.
func (s *splitter) value() (json.RawMessage, error) {
	s.skipSpace()
	begin, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
			if depth == 0 {
				return s.data[begin:s.at], nil
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return s.scalar(begin)
			}
			if depth--; depth == 0 {
				s.at++
				return s.data[begin:s.at], nil
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.scalar(begin)
			}
		}
		s.at++
	}
	if depth > 0 {
		return nil, errTruncated
	}
	return s.scalar(begin)
}

// scalar returns the text of a number or literal that ends before the current position.
func (s *splitter) scalar(begin int) (json.RawMessage, error) {
	if s.at == begin {
		return nil, fmt.Errorf("expected a value at offset %d of the JSON text", begin)
	}
	return s.data[begin:s.at], nil
}

func (s *splitter) skipString() error {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	return errTruncated
}

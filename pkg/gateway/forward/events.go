package forward

import "bytes"

// eventSplitter splits a stream of server-sent events at event boundaries. A stream that is interrupted
// inside an event can be resumed only after the last complete one.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the last complete event that has one, or "".
	lastID string
}

// The blank line that ends an event follows the end of another line. Lines end with LF or CRLF.
var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\n\r\n")
)

var idField = []byte("id:")

// push appends data and returns the complete events that were not returned before. The result is valid
// until the next call.
func (s *eventSplitter) push(p []byte) []byte {
	// The data before holds no complete event, so that only its last bytes can begin an event's end.
	searchFrom := max(len(s.pending)-len(eventEndCRLF)+1, 0)
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending[searchFrom:])
	if end < 0 {
		return nil
	}
	end += searchFrom
	complete := s.pending[:end]
	s.pending = s.pending[end:]
	s.recordLastID(complete)
	return complete
}

// lastEventEnd returns the index after the last event that ends in p, or -1.
func lastEventEnd(p []byte) int {
	end := -1
	for _, blank := range [][]byte{eventEndLF, eventEndCRLF} {
		if at := bytes.LastIndex(p, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// recordLastID sets lastID to that of the last event that has one.
func (s *eventSplitter) recordLastID(events []byte) {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return
	}
	line := events[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	s.lastID = string(bytes.TrimSpace(line))
}

// insideEvent reports whether an event has begun that is not complete. Blank lines between events begin none.
func (s *eventSplitter) insideEvent() bool { return len(bytes.Trim(s.pending, "\r\n")) > 0 }

// reset discards an incomplete event before the stream continues at another engine.
func (s *eventSplitter) reset() { s.pending = s.pending[:0] }

package forward

import "bytes"

// eventSplitter splits a stream of server-sent events at event boundaries. A stream that is interrupted
// inside an event can be resumed only after the last complete one.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the last complete event that has one, or "".
	lastID string
	// strict is set if the stream is known to consist of events. malformed is set once it has had a line that none has, such as
	// the head or the text of an error, which is not returned.
	strict, malformed bool
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
	if s.strict {
		valid := validEvents(complete)
		s.malformed = s.malformed || len(valid) < len(complete)
		complete = valid
	}
	s.recordLastID(complete)
	return complete
}

// validEvents returns the events before the first one with a line that is no field of an event.
func validEvents(events []byte) []byte {
	valid := 0
	for at := 0; at < len(events); {
		end := bytes.IndexByte(events[at:], '\n') + 1
		if end == 0 {
			end = len(events) - at
		}
		line := bytes.TrimRight(events[at:at+end], "\r\n")
		at += end
		if len(line) == 0 {
			valid = at
		} else if !isField(line) {
			return events[:valid]
		}
	}
	return events
}

// isField reports whether a line is a field of an event or a comment. The name of a field has no spaces; only the fields of
// the specification may lack a value.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		switch string(name) {
		case "data", "id", "event", "retry":
			return true
		}
		return false
	}
	for _, c := range name {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return true
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
func (s *eventSplitter) reset() { s.pending, s.malformed = s.pending[:0], false }

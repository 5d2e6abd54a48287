package forward

import "bytes"

// eventSplitter cuts a stream of server-sent events at the ends of events, because a stream that
// breaks off inside an event can go on only after the last complete one.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the last complete event, or "".
	lastID string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// push adds bytes and returns the complete events among those not yet returned. The result is
// valid until the next call.
func (s *eventSplitter) push(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	complete := s.pending[:end]
	s.pending = s.pending[end:]
	s.recordLastID(complete)
	return complete
}

// recordLastID keeps the ID of the last event that has one.
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

// reset drops an incomplete event before the stream goes on elsewhere.
func (s *eventSplitter) reset() { s.pending = s.pending[:0] }

package objects

import "time"

// call is a kind of API call.
type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
)

// Counters are the calls received so far, refused ones included.
type Counters struct {
	Gets    uint64 `json:"gets"`
	Puts    uint64 `json:"puts"`
	Deletes uint64 `json:"deletes"`
	Lists   uint64 `json:"lists"`
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// WatchSeconds is the total time that watches have waited, up to now for ended ones.
	WatchSeconds float64 `json:"watch_seconds"`
	// Refused counts calls refused by an outage or a rate cap.
	Refused       uint64 `json:"refused"`
	Conflicts     uint64 `json:"conflicts"`
	LostResponses uint64 `json:"lost_answers"`
}

// Calls returns the number of calls, with each watch counted once when it starts.
func (c Counters) Calls() uint64 {
	return c.Gets + c.Puts + c.Deletes + c.Lists + c.Watches
}

// Writes returns the number of calls that count against the cap of writes.
func (c Counters) Writes() uint64 { return c.Puts + c.Deletes }

func (c *Counters) count(kind callKind) {
	switch kind {
	case callGet:
		c.Gets++
	case callPut:
		c.Puts++
	case callDelete:
		c.Deletes++
	case callList:
		c.Lists++
	case callWatch:
		c.Watches++
	}
}

// Counters returns the calls so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Store) trackWaitingWatch(delta int, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Waiting += delta
	s.counters.WatchSeconds += waited.Seconds()
}

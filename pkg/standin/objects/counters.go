package objects

import "time"

// callKind is the kind of an API call.
type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
)

// Counters are the numbers of calls received so far, including refused ones.
type Counters struct {
	Gets    uint64 `json:"gets"`
	Puts    uint64 `json:"puts"`
	Deletes uint64 `json:"deletes"`
	Lists   uint64 `json:"lists"`
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that are waiting now.
	Waiting int `json:"waiting"`
	// WatchSeconds is the total waiting time of the watches that have ended.
	WatchSeconds float64 `json:"watch_seconds"`
	// Refused counts calls refused by an outage or a rate limit, Conflicts writes refused because
	// of the version and LostResponses writes whose response was lost.
	Refused       uint64 `json:"refused"`
	Conflicts     uint64 `json:"conflicts"`
	LostResponses uint64 `json:"lost_answers"`
}

// Calls returns the number of calls. A watch counts once, when it starts.
func (c Counters) Calls() uint64 {
	return c.Gets + c.Puts + c.Deletes + c.Lists + c.Watches
}

// Writes returns the number of calls that count against Faults.WritesPerSecond.
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

// Counters returns the current counters.
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

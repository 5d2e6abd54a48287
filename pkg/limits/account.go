package limits

import (
	"slices"
	"time"
)

const (
	// replyTimeout is the time without a reply after which a query is sent again, or to another owner.
	replyTimeout = 60 * time.Millisecond
	// maxNeeds bounds the requests in one query.
	maxNeeds = 16
	// minGrantLeft is the remaining time of a grant below which no further request uses it.
	minGrantLeft = 50 * time.Millisecond
	// reserveRate is the rate in requests per second from which a node asks for more than it needs, reserveTime the time for
	// which that should last, and reserveKept the time after the query for which it is kept.
	reserveRate = 4.0
	reserveTime = 0.3
	reserveKept = 350 * time.Millisecond
)

// Outcome is the decision on a request.
type Outcome int

// Outcomes.
const (
	// Undecided requests wait for a reply.
	Undecided Outcome = iota
	// Granted requests may be sent while their Charge is valid.
	Granted
	// Denied requests are over the quota.
	Denied
	// Unavailable requests have got no decision in time.
	Unavailable
)

// Charge is the tokens of a request that may be sent.
type Charge struct {
	Workspace uint64
	Tokens    int64
	// until is the time at which the charge ends, on the clock of clock.Now.
	until time.Time
	grant grant
}

// Valid reports whether a request may be sent with the charge.
func (c Charge) Valid(now time.Time) bool { return now.Before(c.until) }

// grant identifies where tokens come from.
type grant struct {
	owner   string
	epoch   uint32
	stampMS int64
}

// Waiter is a request that asks for tokens. Its fields below Done are set once Done is closed.
type Waiter struct {
	// Done is closed once there is a decision.
	Done chan struct{}

	Outcome Outcome
	Charge  Charge
	// RetryAfter is the time after which the client of a denied request should come back.
	RetryAfter time.Duration
	// Local is set if the decision needed no query of its own. Owner and Level are the node that decided and the level
	// of its bucket then.
	Local bool
	Owner string
	Level int64

	weight    int64
	workspace uint64
}

func (w *Waiter) decide(o Outcome) {
	w.Outcome = o
	close(w.Done)
}

// lot is a part of a grant that no request uses.
type lot struct {
	grant
	tokens int64
	// until is the end of the grant, and keepUntil the time from which it is returned if no request waits.
	until, keepUntil time.Time
}

// account is a node's state of one workspace.
type account struct {
	lots    []lot
	waiting []*Waiter
	flight  *flight
	// deniedWeight and heavier requests are denied until deniedUntil. Their clients should come back at retryAt.
	deniedWeight         int64
	deniedUntil, retryAt time.Time
	deniedBy             string
	deniedLevel          int64
	// requests and weight are rates per second at usedAt.
	requests, weight meter
	usedAt           time.Time
}

// flight is a query that waits for its reply.
type flight struct {
	number uint64
	// asked are the requests in the query.
	asked  []*Waiter
	sentAt time.Time
	// step is the number of owners that were asked or asked again, refusals how many of them had nothing to grant, and denials
	// how many were interim owners.
	step, refusals, denials int
	target                  string
}

// sentQuery is remembered as long as a grant in the reply could be used.
type sentQuery struct {
	workspace uint64
	needs     []int64
	sentAt    time.Time
	target    string
}

// take uses a lot that is large enough.
func (c *account) take(weight int64, now time.Time) (Charge, bool) {
	for i := range c.lots {
		l := &c.lots[i]
		if l.tokens >= weight && l.until.Sub(now) >= minGrantLeft {
			l.tokens -= weight
			charge := Charge{Tokens: weight, until: l.until, grant: l.grant}
			c.dropSpent(now)
			return charge, true
		}
	}
	return Charge{}, false
}

func (c *account) dropSpent(now time.Time) {
	c.lots = slices.DeleteFunc(c.lots, func(l lot) bool { return l.tokens <= 0 || !now.Before(l.until) })
}

// deniesLocally reports whether an owner has denied a lighter request a moment ago.
func (c *account) deniesLocally(weight int64, now time.Time) bool {
	return weight >= c.deniedWeight && now.Before(c.deniedUntil)
}

// deny denies a request by the last denial, which is for another request if local is set.
func (c *account) deny(w *Waiter, local bool, now time.Time) {
	w.Local, w.Owner, w.Level = local, c.deniedBy, c.deniedLevel
	w.RetryAfter = later(c.retryAt, c.deniedUntil).Sub(now)
	w.decide(Denied)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serve decides on the waiting requests, in order, as far as the lots and the last denial allow.
func (c *account) serve(workspace uint64, now time.Time) {
	c.dropSpent(now)
	for len(c.waiting) > 0 {
		w := c.waiting[0]
		charge, ok := c.take(w.weight, now)
		if !ok {
			break
		}
		charge.Workspace = workspace
		w.Charge, w.Owner = charge, charge.grant.owner
		c.waiting = c.waiting[1:]
		w.decide(Granted)
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiter) bool {
		if !c.deniesLocally(w.weight, now) {
			return false
		}
		c.deny(w, true, now)
		return true
	})
}

// extra returns what the node could use within the validity of a grant besides the waiting requests.
func (c *account) extra(now time.Time) int64 {
	if c.requests.rate(now) < reserveRate {
		return 0
	}
	return int64(c.weight.rate(now) * reserveTime)
}

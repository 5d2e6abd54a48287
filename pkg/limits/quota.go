package limits

import "time"

const (
	// GrantTTL is the time for which a grant is valid after the node has sent its query. A round trip takes some milliseconds,
	// and a request that waits longer for a backend server asks again.
	GrantTTL = 500 * time.Millisecond
	// returnTTL is the time after the issue of a grant within which unused tokens can be returned. Later returns are dropped:
	// the bucket may have been full since, and would get the tokens twice.
	returnTTL = 500 * time.Millisecond
	// sendDelay allows for the time from the last check of a grant until the request arrives at its backend server.
	sendDelay = 100 * time.Millisecond
	// oversizeShare and initialShare are the parts of the remaining tolerance that a request heavier than its bucket and the
	// initial level of a new leader's bucket may use. New ledgers do not know of the deficits of others, so that the sum of
	// three of each must fit into one window. A lease changes its holder at most every 3 s.
	oversizeShare = 0.15
	initialShare  = 0.15
	// initialBurstShare and initialSlackShare bound the initial level.
	initialBurstShare = 0.1
	initialSlackShare = 0.25
)

// QuotaBounds state by how much the use of a quota may exceed it: in any window of length Window, a workspace uses at most
// (rate x Window + burst) x (1 + Over) + Slack. The zero value means that there are no quotas.
type QuotaBounds struct {
	Window time.Duration
	Over   float64
	// Slack is in tokens. It does not apply to quotas of requests.
	Slack float64
}

// Enabled reports whether there are quotas.
func (b QuotaBounds) Enabled() bool { return b.Window > 0 }

// Quota is the limit of one workspace over all nodes together.
type Quota struct {
	// Rate is in units per second, and Burst in units. The units are tokens if Tokens is set, and requests otherwise. A Rate of 0
	// means no limit.
	Rate, Burst float64
	Tokens      bool
}

// bucketLimits are the parameters of the bucket that enforces a quota.
type bucketLimits struct {
	// rate is in units per second, and depth in units.
	rate, depth float64
	// oversize is how much heavier than depth a request may be.
	oversize float64
	// initial is the level of the buckets of a new leader.
	initial float64
	// idle is the time in seconds without a grant after which even heavier requests are granted, up to that time times rate.
	idle float64
}

// bucketLimits returns the parameters of the bucket. What arrives at the backend servers in a window was granted in that
// window, or up to GrantTTL and sendDelay before it; tokens that were granted before and returned in it count again. The
// bucket may therefore grant the bound in the sum of these times. Its depth is cut for that, at most to half of the burst, and
// then its rate.
func (b QuotaBounds) bucketLimits(q Quota) bucketLimits {
	seconds := (b.Window + GrantTTL + returnTTL + sendDelay).Seconds()
	slack := 0.0
	if q.Tokens {
		slack = b.Slack
	}
	bound := (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Over) + slack
	l := bucketLimits{rate: q.Rate, idle: seconds}
	l.depth = min(q.Burst, max(bound-q.Rate*seconds, q.Burst/2))
	l.rate = min(q.Rate, (bound-l.depth)/seconds)
	spare := max(bound-l.depth-l.rate*seconds, 0)
	l.oversize = oversizeShare * spare
	l.initial = min(initialBurstShare*q.Burst+initialSlackShare*slack, initialShare*spare, l.depth)
	return l
}

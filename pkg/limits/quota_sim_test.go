package limits

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// quotaSim is a network of agents in virtual time.
type quotaSim struct {
	rand   *rand.Rand
	bounds QuotaBounds
	term   time.Duration
	quotas map[uint64]Quota
	now    time.Time
	events simEvents
	nodes  []*simNode
	// leader is the node that holds the lease, or nil, and lease counts its holders.
	leader    *simNode
	lease     uint64
	standbys  []string
	byAddress map[string]*simNode
	// loss is the probability that a message is lost or duplicated.
	loss float64
	// One of slowShare requests waits for a backend server for up to 0.7 s.
	slowShare int
	// shared is set once two nodes could use the same part.
	shared bool
	// arrivals are what the backend servers got.
	arrivals []simArrival
	// offered, admitted, denied and unavailable are sums of weights by workspace.
	offered, admitted, denied, unavailable map[uint64]int64
	messages, scheduled                    int
}

type simArrival struct {
	at        time.Time
	workspace uint64
	tokens    int64
}

// simNode is one node. Nodes of different groups do not reach each other.
type simNode struct {
	index, group int
	address      string
	agent        *Agent
	pausedUntil  time.Time
	down         bool
	heard        *simNode
	life         int
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), e[i].seq-e[j].seq) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var simStart = time.Unix(1000, 0)

func newQuotaSim(seed uint64, nodes int, bounds QuotaBounds, quotas map[uint64]Quota) *quotaSim {
	s := &quotaSim{
		rand: rand.New(rand.NewPCG(seed, 1)), bounds: bounds, quotas: quotas, now: simStart, lease: 1, slowShare: 4, byAddress: map[string]*simNode{},
		offered: map[uint64]int64{}, admitted: map[uint64]int64{}, denied: map[uint64]int64{}, unavailable: map[uint64]int64{},
	}
	for i := range nodes {
		n := &simNode{index: i, address: fmt.Sprintf("10.0.%d.%d:7000", i/50, i%50)}
		s.nodes, s.byAddress[n.address] = append(s.nodes, n), n
		s.startNode(n)
	}
	return s
}

func (s *quotaSim) at(t time.Time, do func()) {
	s.scheduled++
	heap.Push(&s.events, simEvent{at: t, seq: s.scheduled, do: do})
}

func (s *quotaSim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// onNode does something at a node once it is not paused. It is dropped if the node's process has ended.
func (s *quotaSim) onNode(n *simNode, do func()) {
	life := n.life
	if n.down {
		return
	}
	if s.now.Before(n.pausedUntil) {
		s.at(n.pausedUntil, func() {
			if n.life == life {
				s.onNode(n, do)
			}
		})
		return
	}
	do()
}

func (s *quotaSim) startNode(n *simNode) {
	n.life++
	n.down, n.heard = false, nil
	var seeds []string
	for i := range min(3, len(s.nodes)) {
		seeds = append(seeds, s.nodes[i].address)
	}
	if len(seeds) < 3 {
		seeds = []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"}
	}
	n.agent = NewAgent(AgentOptions{
		Self: n.address, Seeds: seeds, Bounds: s.bounds, Term: s.term, Env: func() Env { return s.env(n) },
		Send: func(to string, m *Message) { s.send(n, to, m) },
	}, s.now)
	n.agent.SetQuotas(s.quotas, 1, s.now)
	life := n.life
	var tick func()
	tick = func() {
		if n.life != life || n.down {
			return
		}
		s.onNode(n, func() {
			if n.life == life {
				n.agent.Tick(s.now)
				s.after(AppointmentInterval, tick)
			}
		})
	}
	s.after(time.Duration(s.rand.Int64N(int64(AppointmentInterval))), tick)
}

func (s *quotaSim) env(n *simNode) Env {
	e := Env{ActingLeader: s.leader == n, HoldsLease: s.leader == n, LeaseVersion: s.lease}
	if n.heard != nil {
		e.Heard, e.Leader = n.heard.address, n.heard.address
	}
	if s.leader == n {
		e.Leader = n.address
		e.Standbys = s.standbys
	}
	return e
}

func (s *quotaSim) send(from *simNode, to string, m *Message) {
	s.messages++
	target := s.byAddress[to]
	copies := 1
	switch p := s.rand.Float64(); {
	case p < s.loss:
		copies = 0
	case p < 2*s.loss:
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rand.Int64N(int64(time.Millisecond)))
		if copies == 2 {
			delay += time.Duration(s.rand.Int64N(int64(700 * time.Millisecond)))
		}
		s.after(delay, func() {
			if target.group != from.group {
				return
			}
			s.onNode(target, func() { target.agent.Receive(from.address, m, s.now) })
		})
	}
}

// heartbeats makes all nodes hear the leader that they reach, for a time.
func (s *quotaSim) heartbeats(d time.Duration) {
	for at := time.Duration(0); at < d; at += 700 * time.Millisecond {
		s.after(at, func() {
			if s.leader == nil || s.leader.down || s.now.Before(s.leader.pausedUntil) {
				return
			}
			leader := s.leader
			var reach []string
			for _, n := range s.nodes {
				if n != leader && !n.down && n.group == leader.group {
					reach = append(reach, n.address)
					s.onNode(n, func() { n.heard = leader })
				}
			}
			slices.Sort(reach)
			s.standbys = nil
			for i := range min(3, len(reach)) {
				s.standbys = append(s.standbys, reach[i*len(reach)/3])
			}
		})
	}
}

// elect ends the lease and gives it to a node after a gap.
func (s *quotaSim) elect(gap time.Duration) {
	s.leader = nil
	s.after(gap, func() {
		if s.leader != nil {
			return
		}
		for range 20 {
			if n := s.nodes[s.rand.IntN(len(s.nodes))]; !n.down && !s.now.Before(n.pausedUntil) {
				s.leader = n
				s.lease++
				return
			}
		}
	})
}

func (s *quotaSim) kill(n *simNode, downtime time.Duration) {
	n.life++
	n.down = true
	if s.leader == n {
		s.elect(3*time.Second + time.Duration(s.rand.Int64N(int64(1400*time.Millisecond))))
	}
	s.after(downtime, func() { s.startNode(n) })
}

// request lets a node handle one request.
func (s *quotaSim) request(n *simNode, workspace uint64, weight int64) {
	if n.down {
		return
	}
	s.offered[workspace] += weight
	life := n.life
	s.onNode(n, func() { s.acquire(n, life, workspace, weight) })
}

func (s *quotaSim) acquire(n *simNode, life int, workspace uint64, weight int64) {
	w := n.agent.Acquire(workspace, weight, s.now)
	began := s.now
	var poll func()
	poll = func() {
		s.onNode(n, func() {
			if n.life != life {
				return
			}
			if s.now.Sub(began) >= 300*time.Millisecond {
				n.agent.Cancel(w)
			}
			if w.Outcome == Undecided {
				n.agent.Retry(s.now)
				s.after(20*time.Millisecond, poll)
				return
			}
			s.finish(n, life, w, workspace, weight)
		})
	}
	poll()
}

func (s *quotaSim) finish(n *simNode, life int, w *Waiter, workspace uint64, weight int64) {
	switch w.Outcome {
	case Denied:
		s.denied[workspace] += weight
		return
	case Unavailable:
		s.unavailable[workspace] += weight
		return
	}
	if s.rand.IntN(10) == 0 {
		// No backend server is available. The refund may be late.
		s.after(time.Duration(s.rand.Int64N(int64(600*time.Millisecond))), func() {
			s.onNode(n, func() {
				if n.life == life {
					n.agent.Refund(w.Charge, s.now)
				}
			})
		})
		s.offered[workspace] -= weight
		return
	}
	wait := time.Millisecond
	if s.rand.IntN(s.slowShare) == 0 {
		wait = time.Duration(s.rand.Int64N(int64(700 * time.Millisecond)))
	}
	s.after(wait, func() {
		s.onNode(n, func() {
			if n.life != life {
				return
			}
			if !w.Charge.Valid(s.now) {
				s.acquire(n, life, workspace, weight)
				return
			}
			s.admitted[workspace] += weight
			s.arrivals = append(s.arrivals, simArrival{s.now.Add(time.Duration(s.rand.Int64N(int64(sendDelay)))), workspace, weight})
		})
	})
}

// load sends requests of a workspace at a rate in tokens per second for a time. Most go to few nodes.
func (s *quotaSim) load(workspace uint64, rate float64, weight func() int64, d time.Duration) {
	var next func()
	end := s.now.Add(d)
	next = func() {
		if s.now.After(end) {
			return
		}
		w := weight()
		i := s.rand.IntN(len(s.nodes))
		if s.rand.IntN(2) == 0 {
			i = int(float64(len(s.nodes))*s.rand.Float64()*s.rand.Float64()*s.rand.Float64()) * 37 % len(s.nodes)
		}
		s.request(s.nodes[i], workspace, w)
		s.after(time.Duration(s.rand.ExpFloat64()*float64(w)/rate*float64(time.Second)), next)
	}
	next()
}

func (s *quotaSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// checkParts records whether two nodes may grant from the same part at the same time, every 20 ms for a time.
func (s *quotaSim) checkParts(d time.Duration) {
	for at := time.Duration(0); at < d; at += 20 * time.Millisecond {
		s.after(at, func() {
			var users [Parts]int
			for _, n := range s.nodes {
				for _, l := range []*Ledger{n.agent.ledger, n.agent.interim} {
					if l == nil || n.down {
						continue
					}
					for part, until := range l.lentUntil {
						if until.After(s.now) {
							users[part]++
						}
					}
				}
			}
			s.shared = s.shared || slices.Max(users[:]) > 1
		})
	}
}

// worst returns the highest use in a window by workspace, as a proportion of what is allowed.
func (s *quotaSim) worst() (worst float64) {
	byWorkspace := map[uint64][]simArrival{}
	for _, a := range s.arrivals {
		byWorkspace[a.workspace] = append(byWorkspace[a.workspace], a)
	}
	for id, list := range byWorkspace {
		q := s.quotas[id]
		allowed := (q.Rate*s.bounds.Window.Seconds()+q.Burst)*(1+s.bounds.Over) + s.bounds.Slack
		slices.SortFunc(list, func(a, b simArrival) int { return a.at.Compare(b.at) })
		sum, first := int64(0), 0
		for _, a := range list {
			sum += a.tokens
			for a.at.Sub(list[first].at) > s.bounds.Window {
				sum -= list[first].tokens
				first++
			}
			worst = max(worst, float64(sum)/allowed)
		}
	}
	return worst
}

package limits

import (
	"slices"
	"time"
)

// Acquire asks for the weight of a request. The decision may be there on return. Otherwise Done is closed later, by a call of
// Receive, Tick or Retry, or by Cancel.
func (a *Agent) Acquire(workspace uint64, weight int64, now time.Time) *Waiter {
	w := &Waiter{Done: make(chan struct{}), weight: weight, workspace: workspace}
	c := a.accounts[workspace]
	if c == nil {
		c = &account{}
		a.accounts[workspace] = c
	}
	c.usedAt = now
	c.requests.add(now, 1)
	c.weight.add(now, float64(weight))
	c.dropSpent(now)
	if c.deniesLocally(weight, now) {
		c.deny(w, true, now)
		return w
	}
	c.waiting = append(c.waiting, w)
	if len(c.waiting) == 1 {
		c.serve(workspace, now)
		w.Local = w.Outcome != Undecided
	}
	a.query(workspace, c, now)
	a.flush(now)
	return w
}

// Cancel ends the wait of a request. Tokens that it gets later are returned.
func (a *Agent) Cancel(w *Waiter) {
	if w.Outcome != Undecided {
		return
	}
	if c := a.accounts[w.workspace]; c != nil {
		c.waiting = slices.DeleteFunc(c.waiting, func(other *Waiter) bool { return other == w })
	}
	w.decide(Unavailable)
}

// Refund takes back the charge of a request that no backend server has got. The tokens go to a waiting request, or back to
// their owner.
func (a *Agent) Refund(charge Charge, now time.Time) {
	c := a.accounts[charge.Workspace]
	if c == nil || charge.Tokens <= 0 || !now.Before(charge.until) {
		return
	}
	c.lots = append(c.lots, lot{grant: charge.grant, tokens: charge.Tokens, until: charge.until, keepUntil: now})
	c.serve(charge.Workspace, now)
	a.giveBack(charge.Workspace, c, now)
	a.flush(now)
}

// query sends a query for the waiting requests of a workspace, unless there is one.
func (a *Agent) query(workspace uint64, c *account, now time.Time) {
	if len(c.waiting) == 0 {
		c.flight = nil
		return
	}
	if c.flight == nil {
		c.flight = &flight{}
		a.ask(workspace, c, now)
	}
}

// ask sends the query of a flight to the owner of its step.
func (a *Agent) ask(workspace uint64, c *account, now time.Time) {
	f := c.flight
	f.sentAt = now
	owners := a.owners(now)
	if len(owners) == 0 {
		return
	}
	target := owners[f.step%len(owners)]
	if _, known := a.sent[f.number]; !known || f.step != 1 || target != f.target || f.refusals > 0 {
		a.nextNumber++
		f.number, f.target = a.nextNumber, target
		f.asked = slices.Clone(c.waiting[:min(len(c.waiting), maxNeeds)])
		needs := make([]int64, len(f.asked))
		for i, w := range f.asked {
			needs[i] = w.weight
		}
		a.sent[f.number] = sentQuery{workspace: workspace, needs: needs, sentAt: now, target: target}
	}
	q := a.quotas[workspace]
	a.send(target, &Message{Query: &Query{
		Number: f.number, Workspace: workspace, Version: a.version, Rate: q.Rate, Burst: q.Burst, Needs: a.sent[f.number].needs, Extra: c.extra(now),
	}})
}

// advanceFlight asks the next owner for the waiting requests.
func (a *Agent) advanceFlight(workspace uint64, c *account, now time.Time) {
	f := c.flight
	if len(c.waiting) == 0 {
		c.flight = nil
		return
	}
	env := a.opt.Env()
	if f.step >= 1 && f.target != a.opt.Self && (f.target == env.Leader || f.target == env.Heard) {
		a.suspectUntil = now.Add(leaderSuspectTime)
		// The order of the owners has changed.
		f.step = -1
	}
	f.step++
	a.ask(workspace, c, now)
}

func (a *Agent) handleReply(from string, r *Reply, now time.Time) {
	sent, ok := a.sent[r.Number]
	if !ok || sent.target != from || sent.workspace != r.Workspace || r.Granted < 0 || r.Granted > len(sent.needs) || r.Extra < 0 {
		return
	}
	c := a.accounts[r.Workspace]
	if c == nil {
		return
	}
	current := c.flight != nil && c.flight.number == r.Number
	if r.Refused {
		if current {
			a.skipOwner(r.Workspace, c, now)
		}
		return
	}
	delete(a.sent, r.Number)
	if len(r.Holders) > 0 {
		a.partHolders = r.Holders
	}
	a.preferred = from
	a.addGrant(from, r, sent, c, now)
	if current && r.Interim && r.Granted < len(sent.needs) {
		// Another holder may have what this one lacks.
		c.serve(r.Workspace, now)
		c.flight.denials++
		if len(c.waiting) > 0 && c.flight.denials < a.interimOwners() && a.skipOwner(r.Workspace, c, now) {
			return
		}
	}
	if current {
		a.endFlight(from, r, c, now)
	}
	c.serve(r.Workspace, now)
	a.giveBack(r.Workspace, c, now)
	a.query(r.Workspace, c, now)
}

// addGrant adds the granted tokens to the balance. They end GrantTTL after the query was sent, however late the reply is.
func (a *Agent) addGrant(from string, r *Reply, sent sentQuery, c *account, now time.Time) {
	tokens := r.Extra
	for _, need := range sent.needs[:r.Granted] {
		tokens += need
	}
	until := sent.sentAt.Add(GrantTTL)
	if tokens <= 0 || !now.Before(until) {
		return
	}
	keepUntil := now
	if r.Extra > 0 {
		keepUntil = sent.sentAt.Add(reserveKept)
	}
	c.lots = append(c.lots, lot{grant: grant{owner: from, epoch: r.Epoch, stampMS: r.StampMS}, tokens: tokens, until: until, keepUntil: keepUntil})
}

// endFlight records a denial in the reply to the present query.
func (a *Agent) endFlight(from string, r *Reply, c *account, now time.Time) {
	f := c.flight
	c.flight = nil
	if r.Granted >= len(f.asked) {
		return
	}
	denied := f.asked[r.Granted]
	c.deniedWeight = denied.weight
	c.deniedUntil = now.Add(time.Duration(r.WaitMS) * time.Millisecond)
	c.retryAt = now.Add(time.Duration(r.RetryMS) * time.Millisecond)
	c.deniedBy, c.deniedLevel = from, r.Level
	if denied.Outcome != Undecided {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiter) bool { return w == denied })
	c.deny(denied, false, now)
}

// interimOwners returns the number of known nodes that grant from the parts that they hold.
func (a *Agent) interimOwners() int {
	n := 0
	for _, t := range dedupe(a.partHolders) {
		if t != "" {
			n++
		}
	}
	return n
}

// skipOwner asks the next owner at once, because the last one has nothing to grant, but each of them only once. It reports
// whether it has.
func (a *Agent) skipOwner(workspace uint64, c *account, now time.Time) bool {
	f := c.flight
	f.refusals++
	owners := a.owners(now)
	if f.refusals >= len(dedupe(owners)) {
		return false
	}
	for range len(owners) {
		f.step++
		if owners[f.step%len(owners)] != f.target {
			break
		}
	}
	a.ask(workspace, c, now)
	return true
}

// giveBack returns the tokens that are not kept for further requests.
func (a *Agent) giveBack(workspace uint64, c *account, now time.Time) {
	if len(c.waiting) > 0 {
		return
	}
	c.dropSpent(now)
	c.lots = slices.DeleteFunc(c.lots, func(l lot) bool {
		if now.Before(l.keepUntil) {
			return false
		}
		a.nextNumber++
		a.send(l.owner, &Message{Return: &Return{Number: a.nextNumber, Workspace: workspace, Epoch: l.epoch, StampMS: l.stampMS, Tokens: l.tokens}})
		return true
	})
}

// sweepAccounts returns unused tokens and drops what is no longer needed.
func (a *Agent) sweepAccounts(now time.Time) {
	for id, c := range a.accounts {
		a.giveBack(id, c, now)
		if len(c.waiting) == 0 && len(c.lots) == 0 && now.Sub(c.usedAt) > seenTTL {
			delete(a.accounts, id)
		}
	}
	for number, s := range a.sent {
		if now.Sub(s.sentAt) > GrantTTL {
			delete(a.sent, number)
		}
	}
}

// handleQuery decides on a query, as the leader or from the parts that this node holds.
func (a *Agent) handleQuery(from string, m *Message, now time.Time) {
	env := a.opt.Env()
	ledger := a.ledger
	if !env.ActingLeader {
		a.syncInterim(now)
		ledger = a.interim
	}
	reply, ok := Reply{Number: m.Query.Number, Workspace: m.Query.Workspace, Refused: true}, true
	if ledger != nil {
		reply, ok = ledger.Query(from, m.Start, *m.Query, now)
	}
	if !ok {
		return
	}
	reply.Interim, reply.Holders = true, a.partHolders
	if env.ActingLeader && a.owner != nil {
		reply.Interim, reply.Holders = false, a.owner.holders()
	}
	a.send(from, &Message{Reply: &reply})
}

package claims

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/objects"
)

// shardIdleTimeout is the time after which the journal of an unused shard is evicted from memory.
const shardIdleTimeout = 10 * time.Minute

// shard is one journal with its writer. A loop executes the writer's calls of the object API while
// requests are queued.
type shard struct {
	number int

	mu     sync.Mutex
	writer *claims.Writer
	// waiting holds the reply channels of queued requests by ticket.
	waiting    map[uint64]chan claims.Reply
	lastTicket uint64
	// loopRunning is set while the shard's loop runs.
	loopRunning bool
	lastUsed    time.Time
}

// shard returns the shard of a number. If it has to create it, it evicts the idle ones.
func (c *Controller) shard(number int, now time.Time) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[number]
	if !ok {
		c.evictIdleLocked(now)
		s = &shard{number: number, writer: claims.NewWriter(number), waiting: map[uint64]chan claims.Reply{}, lastUsed: now}
		c.shards[number] = s
	}
	return s
}

// evictIdleLocked evicts the shards that are idle. The caller holds c.mu.
func (c *Controller) evictIdleLocked(now time.Time) {
	for number, s := range c.shards {
		s.mu.Lock()
		isIdle := s.writer.Idle() && now.Sub(s.lastUsed) > shardIdleTimeout
		s.mu.Unlock()
		if isIdle {
			delete(c.shards, number)
		}
	}
}

// submit passes op to the shard's writer and waits for the reply. If ctx ends first, the verdict is
// Unavailable, although op may still take effect.
func (c *Controller) submit(ctx context.Context, key claims.Key, op claims.Op) claims.Reply {
	now := time.Now()
	s := c.shard(key.Shard(), now)
	s.mu.Lock()
	s.lastUsed = now
	s.lastTicket++
	op.Ticket = s.lastTicket
	if reply, answered := s.writer.Submit(op, now); answered {
		s.mu.Unlock()
		c.countReply(reply)
		return reply
	}
	result := make(chan claims.Reply, 1)
	s.waiting[op.Ticket] = result
	if !s.loopRunning {
		s.loopRunning = c.startShardLoop(func() { c.runShardLoop(s) })
	}
	s.mu.Unlock()
	reply := claims.Reply{Verdict: claims.Unavailable}
	select {
	case reply = <-result:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	c.countReply(reply)
	return reply
}

// runShardLoop executes the calls that the writer requests, within the rate limit, until no requests
// are queued.
func (c *Controller) runShardLoop(s *shard) {
	for !c.stopLoopIfIdle(s) {
		s.mu.Lock()
		kind := s.writer.Peek(time.Now())
		s.mu.Unlock()
		// Requests that arrive during the wait are batched into the next conditional update.
		c.waitForCallRate(kind)
		s.mu.Lock()
		action, replies := s.writer.Next(time.Now())
		s.deliverLocked(replies)
		s.mu.Unlock()
		c.call(s, action)
	}
}

// stopLoopIfIdle marks the shard's loop as ended, and returns true, if no requests are queued or the
// controller has stopped.
func (c *Controller) stopLoopIfIdle(s *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loopRunning = !s.writer.Idle() && c.ctx.Err() == nil
	return !s.loopRunning
}

// deliverLocked sends replies to the requests that wait for them. The caller holds s.mu.
func (s *shard) deliverLocked(replies []claims.Reply) {
	for _, r := range replies {
		s.waiting[r.Ticket] <- r
		delete(s.waiting, r.Ticket)
	}
}

// call executes one call of the object API and passes its result to the writer.
func (c *Controller) call(s *shard, action claims.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	var replies []claims.Reply
	switch action.Kind {
	case claims.Read:
		var journalErr error
		o, err := c.opt.Store.Get(ctx, action.Name)
		replies, journalErr = s.readDone(o, err)
		if journalErr != nil {
			event.JournalDamaged.Log(c.ctx, c.opt.Logger, slog.String("object", action.Name), slog.Any("error", journalErr))
		}
	case claims.Write:
		version, err := c.opt.Store.Put(ctx, action.Name, action.Value, action.IfVersion)
		s.mu.Lock()
		replies = s.writer.WriteDone(version, err, time.Now())
		s.mu.Unlock()
	case claims.Delete:
		c.delete(ctx, action.Name)
		s.mu.Lock()
		s.writer.DeleteDone()
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverLocked(replies)
}

// delete removes a journal segment that is no longer in use. If that fails, the object remains in the
// store.
func (c *Controller) delete(ctx context.Context, name string) {
	o, err := c.opt.Store.Get(ctx, name)
	if err == nil {
		err = c.opt.Store.Delete(ctx, name, o.Version)
	}
	if err != nil {
		c.opt.Logger.Debug("claim journal segment not deleted; the object remains in the store unused", slog.String("object", name), slog.Any("error", err))
	}
}

func (s *shard) readDone(o objects.Object, err error) ([]claims.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer.ReadDone(o, err, time.Now())
}

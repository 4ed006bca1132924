package routing

import (
	"context"
	"errors"
	"math"
	"syscall"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Calls that are out. The router's goroutine only, but for what a call's own goroutine does in between.

// attempt is a call that is out, from its Send until its connection has nothing of it any more.
type attempt struct {
	msg       *held
	number    int
	endpoint  string
	sentAt    time.Time
	cutAt     time.Time
	begun     bool          // its first byte may have been written
	cleared   time.Duration // that it took until that was allowed: the journal's time and the replicas', not the endpoint's
	mark      uint64        // of that, in what goes to others
	cancelled bool
	stuck     bool          // the module called it off: it had no answer for far too long
	delayed   time.Duration // that its first byte waited for the journal
	ctx       context.Context
	cancel    context.CancelFunc
}

// requestTravel is how long a client's request may have taken until it was read here. A message's time counts from its sending, which
// this side does not see: its deadline here may be later than its client's by so much.
const requestTravel = 10 * time.Millisecond

// lastAnswer is until when an answer is waited for. One that came in the last moments before the deadline could be too late for the
// client already, and the message would then end without anybody being told; so a call is abandoned before that, and its message's end
// is reported. Of a message that has hardly any time left a half remains.
func lastAnswer(now, deadline time.Time) time.Time {
	return deadline.Add(-min(requestTravel, max(0, deadline.Sub(now)/2)))
}

func (r *Router) send(a mb.Send) {
	h := r.messages[uint64(a.ID)]
	if h == nil || r.over { // it is for the next life to send
		return
	}
	if h.call != nil {
		r.cfg.Logger.Error().Str("part", "module").Msg("a second call of a message was not made")
		return
	}
	now := time.Now()
	c := &attempt{msg: h, number: h.attempts, endpoint: string(a.Endpoint), sentAt: now, cutAt: lastAnswer(now, h.deadline)}
	if cut := r.clock(a.CutAt); a.CutAt > 0 && cut.Before(c.cutAt) {
		c.cutAt = cut
	}
	h.call = c
	h.attempts++
	r.calls++
	if h.Long != nil {
		r.longCalls++
	}
	r.counters.Sends++
	ctx, cancel := context.WithDeadline(r.ctx, c.cutAt)
	c.ctx, c.cancel = ctx, cancel
	call := Attempt{
		ID: h.ID, Key: h.Key, Body: h.Body, Endpoint: c.endpoint, Address: r.endpoints[c.endpoint].Address, Deadline: c.cutAt,
		NewConnection: a.NewConnection,
		Begin:         func() bool { return r.clear(c) },
	}
	if h.Long != nil {
		call.BodySource = h.Long.BodySource
		call.RecordDelivery = func() bool {
			record, served := ask(r, func() uint64 { r.settle(c); return r.cfg.Log.LastRecord() })
			if served {
				_ = r.cfg.Log.Commit(record) // it is delivered, whatever this says
			}
			return served
		}
	}
	if !r.mayGo(r.endpoints[c.endpoint]) {
		r.counters.HeldBack++
		cancel()
		r.tasks.Go(func() error { r.post(func() { r.answered(c, Result{Outcome: mb.NotSent}) }); return nil })
		return
	}
	r.tasks.Go(func() error {
		defer cancel()
		if h.onDisk {
			body, err := r.readBody(ctx, h.seq)
			if err != nil {
				r.post(func() { r.unreadable(c, err) })
				return nil
			}
			call.Body = body
		}
		result := r.cfg.Caller.Call(ctx, call)
		r.post(func() { r.answered(c, result) })
		return nil
	})
}

// clear lets a call's first byte go, and notes how long that took where that is told apart.
func (r *Router) clear(c *attempt) bool {
	if r.cfg.Steering == nil {
		return r.letGo(c)
	}
	asked := time.Now()
	allowed := r.letGo(c)
	c.cleared += time.Since(asked)
	return allowed
}

// permission is what begin says of a call's first byte.
type permission int

const (
	forbidden permission = iota
	allowed
	unrecorded // not now: the journal can't be written, and no later life would know of the call
)

// letGo lets a call's first byte go, in its own goroutine. Its start outlasts what the journal's durability says by then;
// where that took its time, all is looked at again.
func (r *Router) letGo(c *attempt) bool {
	record, may := r.awaitBegin(c)
	strict := r.cfg.Replication != nil && r.cfg.Replication.ReplicatesStarts(c.msg.Class)
	if !may || !r.cfg.Log.NeedsCommit() && !strict {
		return may
	}
	if r.cfg.Log.Commit(record) != nil {
		return false
	}
	if strict { // whoever takes over has to know that it may have run
		if _, err := r.cfg.Replication.WaitReplicated(c.mark, c.msg.Class); err != nil {
			return false
		}
	}
	_, may = r.awaitBegin(c)
	return may
}

// awaitBegin asks whether a call's first byte may go, again and again while the journal can't be written. It gives the number of the
// latest record by then.
func (r *Router) awaitBegin(c *attempt) (record uint64, may bool) {
	for {
		answer, _ := ask(r, func() permission {
			may := r.begin(c)
			record = r.cfg.Log.LastRecord()
			return may
		})
		if answer != unrecorded {
			return record, answer == allowed
		}
		select {
		case <-time.After(journalRetry):
			c.delayed += journalRetry
		case <-c.ctx.Done():
			return 0, false
		}
	}
}

const (
	bodyRetryFor = 3 * time.Second // how long a message's body is tried to be read from the disk, by one call or by several
	bodyRetry    = 10 * time.Millisecond
)

// readBody reads a body that is only on the disk. A read that fails is tried again for a while.
func (r *Router) readBody(ctx context.Context, seq uint64) ([]byte, error) {
	began := time.Now()
	for {
		body, err := r.cfg.Log.Body(seq)
		if err == nil || !ofDisk(err) || time.Since(began) > bodyRetryFor {
			return body, err
		}
		select {
		case <-time.After(bodyRetry):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// ofDisk tells an error of the disk, which may pass, from one of what was read.
func ofDisk(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number)
}

// unreadable ends a message whose body can't be read back: no later call could be made either. While the disk fails, and that only began,
// the message goes on, and only its call ends.
func (r *Router) unreadable(c *attempt, err error) {
	h := c.msg
	if h.unreadSince.IsZero() {
		h.unreadSince = c.sentAt
	}
	if ofDisk(err) && time.Since(h.unreadSince) < bodyRetryFor {
		r.journal(h.ID, err)
		r.answered(c, Result{Outcome: mb.NotSent})
		return
	}
	r.counters.Lost++
	r.trouble().Uint64("message", h.seq).Str("request", h.ID).Err(err).Msg("body not readable, message ended")
	e := wal.Refused
	if h.mayRun {
		e = wal.Failed
	}
	r.finish(h, e, pushBack)
	r.answered(c, Result{Outcome: mb.NotSent})
}

// begin lets a call's first byte go. Between the module's send and this moment the list may have changed, the message
// may have ended, its time or its window may be up, or a wait may have been told.
func (r *Router) begin(c *attempt) permission {
	p, listed := r.endpoints[c.endpoint]
	switch {
	case r.over, c.msg.ended, c.cancelled, !time.Now().Before(c.cutAt):
		r.sample("call held back", "over", c.msg)
		return forbidden
	case !r.acts(c.msg):
		return r.holdBack(c, "lease")
	case !listed, p.State != mb.Serving, p.Destination != c.msg.Destination:
		return r.holdBack(c, "list")
	case !r.decider.MayBegin(r.now(), mb.MessageID(c.msg.seq)):
		return r.holdBack(c, "wait or window")
	}
	if c.begun { // on another connection now, with nothing written yet
		return allowed
	}
	if r.cfg.Steering != nil && !r.cfg.Steering.Allows(p.Destination, p.Zone) {
		return r.holdBack(c, "place")
	}
	if err := r.cfg.Log.Started(c.msg.seq, time.Now(), p.Zone); err != nil {
		r.journal(c.msg.ID, err)
		return unrecorded
	}
	if c.begun = true; r.cfg.Replication != nil {
		c.mark = r.cfg.Replication.LogPosition()
	}
	return allowed
}

// holdBack keeps a call's first byte back.
func (r *Router) holdBack(c *attempt, reason string) permission {
	r.counters.HeldBack++
	r.sample("call held back", reason, c.msg)
	return forbidden
}

// answered books the end of a call.
func (r *Router) answered(c *attempt, result Result) {
	h := c.msg
	h.call = nil
	r.calls--
	if h.Long != nil {
		r.longCalls--
	}
	out := result.Outcome
	if out == mb.TimedOut && c.cancelled {
		out = mb.Cancelled
	}
	if !c.begun && (out == mb.TimedOut || out == mb.Cancelled || out == mb.Reset) {
		out = mb.ConnectFailed
	}
	r.counters.outcome(out)
	r.sampleCall(c, out)
	r.steered(c, out)
	if l := result.Limit; r.cfg.Steering != nil && l != nil && l.Rate > 0 && !math.IsInf(l.Rate, 1) {
		r.cfg.Steering.LimitReported(h.Destination, r.endpoints[c.endpoint].Zone, l.Rate)
	}
	h.last = out
	never := out == mb.Refused || out == mb.ConnectFailed || out == mb.NotSent
	if c.begun {
		h.mayRun = h.mayRun || !never
		r.journal(h.ID, r.cfg.Log.Outcome(h.seq, !never))
	}
	over := out == mb.OK || result.Final
	if over {
		r.end(h, wal.Completed, 0)
		if h.Long != nil {
			r.overLong(h, out == mb.OK)
		}
	}
	if h.ended {
		delete(r.messages, h.seq)
	} else if m := r.cfg.Log.Message(h.seq); h.returns && m != nil {
		h.away, h.returns = false, false
		defer r.submitAgain(m, h)
	}
	if r.endpoints[c.endpoint].State != mb.Serving || r.endpoints[c.endpoint].Address == "" {
		r.cfg.Caller.CloseIdle(c.endpoint) // it was listed so while this call was out
	}
	if r.cfg.Steering != nil && result.RetryAfter > 0 { // its places are judged apart, and wait together
		r.decider.ApplyRetryAfter(r.now(), mb.DestinationID(h.Destination), result.RetryAfter)
	}
	r.decide(mb.Answer{
		ID: mb.MessageID(h.seq), Attempt: c.number, Endpoint: mb.EndpointID(c.endpoint), Outcome: out,
		Latency: time.Since(c.sentAt) - c.delayed, Settled: over || h.ended, RetryAfter: result.RetryAfter, Limit: result.Limit,
		ReusedConnection: result.ReusedConnection, BodyConsumed: result.BodyConsumed,
	})
}

package routing

import (
	"slices"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Long marks a message whose body is passed on as it comes. Nothing of the body is held or journalled, so no later life
// can send it: a restart ends it.
type Long struct {
	BodySource any // what the caller takes the body from, and passes the answer to
	// OnEnd is told, once, how the message ended, which outlasts what the journal's durability says; it must not wait.
	OnEnd func(LongResult)
}

// LongResult is the end of a long message.
type LongResult struct {
	Kind       VerdictKind   // Known: delivered; Refused or Failed
	RetryAfter time.Duration // with Refused: when to come again
	MayHaveRun bool          // with Refused or Failed
	TimedOut   bool          // with Failed
	// ClientAnswered must be called, unless it is nil: whether the client has its answer. If it has not, a notice ends the message.
	ClientAnswered func(bool)
}

// LongLimits bound the messages whose bodies are passed on. The zero value takes none.
type LongLimits struct {
	MaxMessages int           // held or out at once
	Slots       int           // calls out at once
	MaxTimeLeft time.Duration // how long one may live
}

// toldFor is how long the end of this life waits for clients to be told of their long messages' ends. It ends before
// the kill that follows a stop.
const toldFor = 300 * time.Millisecond

// mostClosed bounds the ids of ended long messages that the journal keeps.
const mostClosed = 512

// AcceptLong decides on a long message, whose Body is left empty. When it says Taken, the message is journalled, and its end
// is told to Long.Ended.
func (r *Router) AcceptLong(m Message) Verdict { return r.Accept(m) }

// admitLong says whether there is room for one more long message; beyond that it is told when to come again.
func (r *Router) admitLong() bool {
	return r.longs < r.cfg.Long.MaxMessages && r.longCalls < r.cfg.Long.Slots && r.stopAt.IsZero()
}

// bookLong counts a long message as held from its accept to its end.
func (r *Router) bookLong(h *held, n int) {
	if h.Long != nil {
		r.longs += n
	}
}

// settle books a delivery that an endpoint has told of, before the client can hear of it.
func (r *Router) settle(c *attempt) {
	if !c.msg.ended {
		r.end(c.msg, wal.Completed, 0)
	}
}

// finishLong tells a long message's client of its end. The end is journalled by now; should this life end before the
// client is told, the next one's notice tells it.
func (r *Router) finishLong(h *held, e wal.Status, retry time.Duration) {
	end := LongResult{Kind: Failed, RetryAfter: retry, MayHaveRun: h.mayRun, TimedOut: h.timeUp()}
	if e == wal.Refused {
		if end.Kind = Refused; retry <= 0 {
			end.RetryAfter = pushBack
		}
	}
	r.untold++
	end.ClientAnswered = func(told bool) {
		r.post(func() {
			if r.untold--; told {
				r.counters.LongAnswered++
				r.told(h)
			} else {
				r.notify(h, e == wal.Refused, retry)
			}
		})
	}
	r.afterRecords(h, time.Now().Add(longEndWait), true, func() { h.Long.OnEnd(end) })
}

// timeUp says that a message was given up because its time, or that of an attempt, was over.
func (h *held) timeUp() bool {
	return !time.Now().Before(h.deadline) || h.attempts > 0 && (h.last == mb.TimedOut || h.last == mb.Cancelled)
}

// told journals that a message's end was told. A long one that may have run and must not run again leaves its id there, so
// that a later life does not take it on either.
func (r *Router) told(h *held) {
	long := h.Long != nil || h.cut
	keep := long && h.mayRun && r.past.closed < mostClosed && slices.ContainsFunc(r.cfg.Settings.Classes, func(c mb.Class) bool {
		return c.Name == h.Class && c.Effect != mb.Safe
	})
	if !keep {
		r.journal(h.ID, r.cfg.Log.End(h.seq, wal.Completed, 0))
		return
	}
	if r.past.close(h.ID, h.seq) {
		r.journal(h.ID, r.cfg.Log.End(h.seq, wal.Closed, 0))
		return
	}
	r.journal(h.ID, r.cfg.Log.End(h.seq, wal.Completed, 0)) // its id's time is over by now
}

// overLong tells a long message's client that nothing more is owed: it was delivered, or nobody wants it.
func (r *Router) overLong(h *held, delivered bool) {
	end := LongResult{Kind: AlreadyAccepted}
	if !delivered {
		end = LongResult{Kind: Failed, MayHaveRun: h.mayRun, TimedOut: true}
	}
	r.cfg.Log.AfterCommit(func(error) { h.Long.OnEnd(end) })
}

// endLongs ends the long messages that wait for a call when this life is over; those out have been cancelled.
func (r *Router) endLongs() {
	for _, h := range r.ids {
		if h.Long == nil || h.call != nil {
			continue
		}
		e := wal.Refused
		if h.mayRun {
			e = wal.Failed
		}
		r.finish(h, e, lateRefusal)
		r.decide(mb.MessageCancelled{ID: mb.MessageID(h.seq)})
	}
}

package routing

import (
	"sync/atomic"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// What the router holds: messages from their accept, or their resumption, to their end. The router's goroutine only.

// held is a message that is taken on, or that still has a call out.
type held struct {
	Message
	seq         uint64
	onDisk      bool      // its Body is read from the journal for each call
	unreadSince time.Time // a call could not read it first
	record      uint64    // of its accept; 0 is one of an earlier life
	mark        uint64    // and its place in what goes to others
	deadline    time.Time
	attempts    int
	call        *attempt // the attempt that is out
	ended       bool
	mayRun      bool        // an attempt may have run
	repeated    bool        // somebody who handed it in again is told that it is taken on
	last        mb.Outcome  // of its latest attempt
	cut         bool        // a long one of an earlier life
	apart       bool        // taken on while this life may not act for others' copies: nobody else has it
	away        bool        // not with the module: this life may not act for it, or not yet
	returns     bool        // it goes back to the module with the end of its call
	adopting    bool        // of another life, which is not this forwarder's to act for yet
	dropped     atomic.Bool // its notice is somebody else's
}

// resume takes up what an earlier life left: its notices, and its messages with their past. The module gets all of them at once:
// it looks at all it holds each time, and a start must not take the square of that.
func (r *Router) resume() {
	live := r.cfg.Log.Live()
	var again []mb.Event
	for _, m := range live {
		h := r.heldFrom(m)
		if m.Status == wal.Closed {
			r.past.add(h.ID, false, true, h.seq)
			continue
		}
		if m.Status != wal.Pending {
			if h.ended = true; h.cut {
				r.past.add(h.ID, false, true, 0)
			}
			if r.cfg.Replication != nil {
				r.waiting[h.seq] = h // whoever may have taken over from that life may have told of it
				continue
			}
			r.notify(h, m.Status == wal.Refused, m.RetryAfter)
			continue
		}
		r.messages[h.seq], r.ids[h.ID] = h, h
		r.counters.Resumed++
		if h.away = r.cfg.Replication != nil; !h.away {
			again = append(again, r.resubmission(m, h))
		}
	}
	if len(again) > 0 {
		r.decide(again...)
	}
	if len(live) > 0 {
		r.cfg.Logger.Info().Int64("messages", r.counters.Resumed).Int("notices", len(live)-int(r.counters.Resumed)-r.past.closed).
			Msg("resumed what an earlier life had left")
	}
}

func (r *Router) heldFrom(m *wal.Message) *held {
	deadline := m.Deadline
	if most := time.Now().Add(max(r.longest, r.cfg.Long.MaxTimeLeft)); deadline.After(most) { // the clock was set back
		deadline = most
	}
	return &held{
		Message: Message{ID: m.ID, Key: m.Key, Class: m.Class, Destination: m.Destination, Body: m.Body},
		seq:     m.Seq, deadline: deadline, attempts: m.Attempts, onDisk: m.OnDisk, cut: m.Long, mayRun: m.MayHaveRun,
	}
}

func (r *Router) submission(h *held, left time.Duration) mb.Submit {
	return mb.Submit{
		ID: mb.MessageID(h.seq), Class: h.Class, TimeLeft: left, Destination: mb.DestinationID(h.Destination),
		Long: h.Long != nil,
	}
}

// forget drops the ids of messages that ended so long ago that nobody can mean them any more.
func (r *Router) forget() {
	for _, seq := range r.past.expire(r.longest, max(r.longest, r.cfg.Long.MaxTimeLeft)) {
		r.journal("", r.cfg.Log.End(seq, wal.Completed, 0))
	}
}

// finish ends a message by a notice.
func (r *Router) finish(h *held, e wal.Status, retry time.Duration) {
	if h.ended {
		return
	}
	r.end(h, e, retry)
	if h.Long != nil {
		r.finishLong(h, e, retry)
		return
	}
	r.notify(h, e == wal.Refused, retry)
}

// end books and journals a message's end; it stays known while a call is out.
func (r *Router) end(h *held, e wal.Status, retry time.Duration) {
	if h.ended {
		return
	}
	h.ended = true
	delete(r.ids, h.ID)
	r.past.add(h.ID, e == wal.Completed, h.Long != nil || h.cut, 0)
	r.bookLong(h, -1)
	if h.call == nil {
		delete(r.messages, h.seq)
	}
	r.journal(h.ID, r.cfg.Log.End(h.seq, e, retry))
}

func (r *Router) notify(h *held, back bool, retry time.Duration) {
	if back {
		r.counters.HandedBack++
		r.sample("message handed back", h.lastOutcome(), h)
	} else {
		r.counters.GivenUp++
		r.sample("message given up", h.lastOutcome(), h)
	}
	r.notices++
	n := DeliveryReport{ID: h.ID, Returned: back, RetryAfter: retry, Done: func() {
		r.post(func() {
			if h.dropped.Load() {
				return
			}
			delete(r.noticed, h.seq)
			r.notices--
			r.counters.Acknowledged++
			r.told(h)
		})
	}}
	if r.cfg.Replication != nil {
		r.noticed[h.seq] = h
		if !h.apart {
			n.MaySend = r.mayTell(h)
		}
	}
	// Told before it is journalled, a kill could have the message live again behind its end. Behind its deadline it would not be sent
	// again, and an end that is never told is worse.
	r.afterRecords(h, h.deadline, false, func() { r.cfg.Notifier.Notify(n) })
}

package routing

import (
	"errors"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// What others hold copies of. Without a Guard nobody does, and nothing here is used. The router's goroutine owns it all; what is
// exported may be called from any goroutine.

// Replication stands between the router and those who keep copies of what it holds, and may take that over.
type Replication interface {
	// MayAct says whether this life may act at this moment for messages of which there are copies. It is asked just before a
	// call's first byte, and never waits.
	MayAct() bool
	// LogPosition is the place, in the log that goes to others, of the latest record; the router's goroutine asks it.
	LogPosition() uint64
	// WaitReplicated returns once everybody who counts has the log up to a mark. For a class that goes on without a copy when there is
	// nobody to keep one, alone says that it does; for any other an error does.
	WaitReplicated(mark uint64, class string) (alone bool, err error)
	// Replicated says, without waiting, whether Held would return by now.
	Replicated(mark uint64, class string) bool
	// CanAccept says, without waiting, whether a message of a class can be taken on as things are.
	CanAccept(class string) bool
	// ReplicatesStarts says that a class's calls begin only when others know of it.
	ReplicatesStarts(class string) bool
}

// OwnershipCheck asks what became of a message of an earlier life: whether it is still this forwarder's.
type OwnershipCheck func(m *wal.Message) bool

// tellAnyway is how long a notice waits until others know of the end that it tells of. Without them knowing, whoever takes over
// could end the message another way; but an answer that never comes is worse.
const tellAnyway = 2 * time.Second

// mayTell gives what a notice of a shared message asks just before it is sent.
func (r *Router) mayTell(h *held) func() (now, never bool) {
	mark, since := r.cfg.Replication.LogPosition(), time.Now()
	return func() (now, never bool) {
		held := r.cfg.Replication.Replicated(mark, h.Class) || time.Since(since) > tellAnyway
		return held && r.cfg.Replication.MayAct(), h.dropped.Load()
	}
}

// errAway is given for what cannot be done while this life may not act.
var errAway = errors.New("routing: not this life's to act for")

// acts says whether the router may act for a message now.
func (r *Router) acts(h *held) bool {
	return r.cfg.Replication == nil || h.apart || r.cfg.Replication.MayAct()
}

// Suspend stops all that is done for messages of which there are copies: this life may not act for them any more, and somebody
// else may. Their calls are cancelled; the messages stay as they are, for Thaw.
func (r *Router) Suspend() {
	ask(r, func() bool {
		for _, h := range r.messages {
			if h.apart || h.away || h.ended {
				continue
			}
			h.away = true
			if h.call != nil {
				h.call.cancelled = true
				h.call.cancel()
			}
			r.decide(mb.MessageCancelled{ID: mb.MessageID(h.seq)})
		}
		return true
	})
}

// Continue goes on with what Freeze, or a start, has left: each message that is still this forwarder's is decided on again, with its
// past; the others are somebody else's, who answers for them. From here on what was taken on apart has copies as any other.
func (r *Router) Continue(mine OwnershipCheck) {
	ask(r, func() bool {
		kept, left := 0, 0
		for _, m := range r.cfg.Log.Live() {
			h := r.messages[m.Seq]
			switch {
			case h != nil && h.adopting, h == nil && m.Status == wal.Closed:
			case h != nil && h.apart, mine(m):
				if h != nil && h.away && !h.ended {
					kept++
				}
				r.back(m, h)
			default:
				left++
				r.leave(m, h)
			}
		}
		if left > 0 || kept > 0 {
			r.cfg.Logger.Info().Int("messages", kept).Int("elsewhere", left).Msg("goes on with what it held")
		}
		return true
	})
}

// back takes a message up again.
func (r *Router) back(m *wal.Message, h *held) {
	if h == nil { // it has ended, and nobody was told yet
		if w := r.waiting[m.Seq]; w != nil {
			delete(r.waiting, m.Seq)
			r.notify(w, m.Status == wal.Refused, m.RetryAfter)
		}
		return
	}
	h.apart = false
	if !h.away || h.ended {
		return
	}
	if h.call != nil { // its outcome brings it back
		h.returns = true
		return
	}
	h.away, h.returns = false, false
	r.submitAgain(m, h)
}

// submitAgain hands a message that was adopted or frozen to the module, with its past.
func (r *Router) submitAgain(m *wal.Message, h *held) { r.decide(r.resubmission(m, h)) }

// resubmission is a message with its past, in the module's terms.
func (r *Router) resubmission(m *wal.Message, h *held) mb.Submit {
	submit := r.submission(h, time.Until(h.deadline))
	if submit.Long, submit.BodyConsumed, submit.Resumed = m.Long, m.Long, true; m.Long { // its body went with that life
		r.counters.LongCut++
	}
	h.mayRun = h.mayRun || m.MayHaveRun
	h.attempts = max(h.attempts, m.Attempts)
	if submit.Attempts = h.attempts; m.MayHaveRun {
		ago := time.Since(m.RanAt)
		if ago < 0 { // the clock was set back: nobody knows how long ago, so no window may still be open
			ago = pastRoom
		}
		submit.MayHaveRun = &mb.PriorAttempt{SentAgo: ago, Zone: m.RanZone}
	}
	return submit
}

// leave drops a message that is somebody else's. Its id stays known: whoever handed it in has been told that it was taken on.
func (r *Router) leave(m *wal.Message, h *held) {
	if h != nil {
		delete(r.ids, h.ID)
		if h.ended = true; h.call == nil {
			delete(r.messages, h.seq)
		} else if !h.call.cancelled {
			h.call.cancelled = true
			h.call.cancel()
		}
	}
	delete(r.waiting, m.Seq)
	if w := r.noticed[m.Seq]; w != nil {
		delete(r.noticed, m.Seq)
		w.dropped.Store(true)
		r.notices--
	}
	r.past.add(m.ID, true, false, 0)
	r.counters.Elsewhere++
	r.journal(m.ID, r.cfg.Log.End(m.Seq, wal.Completed, 0))
}

// Adopt takes on what an ended life owed, without acting for it yet: its messages are journalled under that life's name, and the
// ids that were over there are known here. A message whose id is known here is passed over. It gives the mark up to which
// others must hold the log before Activate. An error says that there is no room, and that nothing was taken on.
func (r *Router) Adopt(owner string, life uint64, messages []*wal.Message, past []wal.CompletedID) (mark uint64, err error) {
	got, served := ask(r, func() error {
		for _, p := range past {
			if _, known := r.past.delivered[p.ID]; !known {
				r.past.add(p.ID, p.Delivered, false, 0)
				r.cfg.Log.TapCompletedID(p)
			}
		}
		ended := map[string]bool{} // of earlier lives; whoever owns them tells of them
		for _, list := range []map[uint64]*held{r.waiting, r.noticed} {
			for _, h := range list {
				ended[h.ID] = true
			}
		}
		var wanted []*wal.Message
		listed := map[string]int{} // by id: its place among these
		for _, m := range messages {
			if h := r.ids[m.ID]; h != nil {
				r.enrich(h, m)
				continue
			}
			if _, over := r.past.delivered[m.ID]; over || ended[m.ID] {
				continue
			}
			own := r.adoptable(m, owner, life)
			if i, twice := listed[m.ID]; twice {
				wanted[i] = wal.Merge(wanted[i], own)
				continue
			}
			listed[m.ID] = len(wanted)
			wanted = append(wanted, own)
		}
		if err := r.adoptAll(wanted); err != nil {
			return err
		}
		mark = r.cfg.Replication.LogPosition()
		return nil
	})
	if !served {
		return 0, errAway
	}
	return mark, got
}

// adoptable is a message as it is taken over from a life.
func (r *Router) adoptable(m *wal.Message, owner string, life uint64) *wal.Message {
	own := *m
	own.Owner, own.Incarnation = owner, life
	own.SettleInFlight() // a call of it that was out has ended by now, and may have run
	if !r.cfg.Replication.ReplicatesStarts(own.Class) {
		own.AssumeRan(time.Now().Add(-pastRoom)) // its calls began without a copy that says so, nobody knows when
	}
	return &own
}

// adoptAll journals messages that are taken over, or none of them. Room for all is reserved before the first is written.
func (r *Router) adoptAll(messages []*wal.Message) error {
	rooms := make([]*wal.Reservation, 0, len(messages))
	defer func() {
		for _, room := range rooms {
			room.Release()
		}
	}()
	for _, m := range messages {
		room, fits := r.cfg.Log.ReserveTakenOver(m)
		if !fits {
			return wal.ErrFull
		}
		rooms = append(rooms, room)
	}
	var made []*held
	for i, m := range messages {
		m.Seq = r.cfg.Log.NextSeq()
		if err := r.cfg.Log.AcceptTakenOver(rooms[i], m); err != nil {
			for _, h := range made {
				r.drop(h)
			}
			return err
		}
		h := r.heldFrom(m)
		h.away, h.adopting, h.ended = true, true, m.Status != wal.Pending
		r.messages[h.seq], r.ids[h.ID] = h, h
		made = append(made, h)
	}
	return nil
}

// enrich adds to a message held here what another copy of the same log knows of it.
func (r *Router) enrich(h *held, m *wal.Message) {
	own := r.cfg.Log.Message(h.seq)
	if own == nil || !h.away || h.ended {
		return
	}
	other := *m
	other.SettleInFlight()
	other.Seq = own.Seq
	if merged := wal.Merge(own, &other); merged.Attempts > own.Attempts || merged.MayHaveRun && (!own.MayHaveRun || merged.RanAt.Before(own.RanAt)) {
		r.journal(h.ID, r.cfg.Log.Progress(own.Seq, merged))
		h.attempts, h.mayRun = merged.Attempts, merged.MayHaveRun
	}
}

// drop takes back what was adopted.
func (r *Router) drop(h *held) {
	delete(r.messages, h.seq)
	delete(r.ids, h.ID)
	r.journal(h.ID, r.cfg.Log.Cancel(h.seq))
}

// Activate begins to act for what was adopted of a life; with on false it is taken back: somebody else does. It gives how many
// messages there were.
func (r *Router) Activate(owner string, life uint64, on bool) int {
	n, _ := ask(r, func() (n int) {
		for _, m := range r.cfg.Log.Live() {
			h := r.messages[m.Seq]
			if h == nil || !h.adopting || m.Owner != owner || m.Incarnation != life {
				continue
			}
			if n++; !on {
				r.drop(h)
				continue
			}
			if h.adopting = false; m.Status != wal.Pending {
				delete(r.messages, h.seq)
				delete(r.ids, h.ID)
				r.past.add(h.ID, false, false, 0)
				r.notify(h, m.Status == wal.Refused, m.RetryAfter)
				continue
			}
			r.counters.TakenOver++
			h.away = false
			r.submitAgain(m, h)
		}
		return n
	})
	return n
}

// Inspect has f called in the router's goroutine with the journal; no record is journalled meanwhile. False says that the router has
// ended.
func (r *Router) Inspect(f func(log *wal.Log)) bool {
	_, served := ask(r, func() bool { f(r.cfg.Log); return true })
	return served
}

// pastAtOnce bounds how many ids the router's goroutine goes through at a time: with all of some 100,000 every message would wait
// for tens of milliseconds.
const pastAtOnce = 1024

// EndedIDs gives the ids that are over in pieces, so that messages go on in between: each is called outside the router's goroutine, and last
// in it, with the rest that has ended meanwhile, so that what it sees of the journal fits to exactly these ids. False says that the
// router has ended.
func (r *Router) EndedIDs(each func([]wal.CompletedID), last func(log *wal.Log, rest []wal.CompletedID)) bool {
	for at := (EndedCursor{}); ; {
		var piece []wal.CompletedID
		over, served := ask(r, func() bool {
			ids, next := r.past.from(at, pastAtOnce)
			now := time.Now()
			for _, p := range ids {
				piece = append(piece, wal.CompletedID{ID: p.ID, Delivered: p.Delivered, At: now.Add(-p.Age)})
			}
			if at = next; at.queue-r.past.gone.queue < len(r.past.queue) || at.long-r.past.gone.long < len(r.past.long) {
				return false
			}
			last(r.cfg.Log, piece)
			return true
		})
		if !served || over {
			return served
		}
		each(piece)
	}
}

// ApplyObservations has the module heed what advise makes of what it has learned itself; advise runs in the router's goroutine. False says that the
// router has ended.
func (r *Router) ApplyObservations(advise func(own []mb.LearnedCircuit) []mb.LearnedCircuit) bool {
	_, served := ask(r, func() bool {
		r.decider.ApplyObservations(r.now(), advise(r.decider.Snapshot(r.now()).Circuits))
		r.decide() // what waits, waits for other moments now
		return true
	})
	return served
}

// confirmTaken waits, outside the router's goroutine, until a message that was taken on is held by whoever counts. Where that is
// not known in time, some may hold it and take it over: it stays, and its client is told nothing.
func (r *Router) confirmTaken(m Message, v Verdict) Verdict {
	alone, err := r.cfg.Replication.WaitReplicated(v.mark, m.Class)
	switch {
	case err != nil:
		r.post(func() { r.counters.NoCopy++ })
		return Verdict{Kind: Unconfirmed}
	case alone:
		if _, served := ask(r, func() bool { r.journal(m.ID, r.cfg.Log.MarkUnreplicated(v.seq)); r.counters.Alone++; return true }); !served {
			return Verdict{Kind: Stopped, RetryAfter: lateRefusal}
		}
	}
	return v
}

package routing

import (
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// How a message is taken on: refused without a trace, or decided on, journalled and held. The router's goroutine only.

// take decides on a message that is handed in.
func (r *Router) take(m Message) Verdict {
	r.counters.HandedIn++
	r.forget()
	if v, known := r.knownAlready(m); known {
		return v
	}
	if v, refused := r.refuseUnheard(m); refused {
		return v
	}
	apart := r.cfg.Replication != nil && !r.cfg.Replication.MayAct()
	if r.cfg.Replication != nil && (apart && m.Long != nil || !r.cfg.Replication.CanAccept(m.Class)) { // it could not be copied, or not be sent
		return r.refuse(m, &r.counters.NoCopy, "no replica")
	}
	if err := r.cfg.Log.Flush(); err != nil { // nothing can be taken on now, so it is not even decided on
		r.journal(m.ID, err)
		return r.refuse(m, &r.counters.NoRoom, "journal not written")
	}
	longest := r.classes[m.Class]
	if m.Long != nil {
		longest = r.cfg.Long.MaxTimeLeft
	}
	m.TimeLeft = min(m.TimeLeft, longest)
	h := &held{Message: m, seq: r.cfg.Log.NextSeq(), deadline: time.Now().Add(m.TimeLeft), apart: apart}
	entry := &wal.Message{
		Seq: h.seq, Deadline: h.deadline, Destination: m.Destination, ID: m.ID, Key: m.Key, Class: m.Class, Body: m.Body,
		Long: m.Long != nil,
	}
	room, fits := r.cfg.Log.Reserve(entry)
	if !fits {
		return r.refuse(m, &r.counters.NoRoom, "journal full")
	}
	defer room.Release()
	actions := r.decider.Handle(r.now(), []mb.Event{r.submission(h, m.TimeLeft)})
	if v, others, answered := r.answeredAtOnce(h, actions); answered { // nothing was taken on
		r.sampleRefused(m, "decision")
		r.perform(others)
		return v
	}
	if err := r.cfg.Log.AcceptReserved(room, entry); err != nil {
		r.journal(m.ID, err)
		r.revoke(h, actions)
		return r.refuse(m, &r.counters.NoRoom, "journal not written")
	}
	r.hold(h, entry)
	r.perform(actions)
	return Verdict{Kind: Accepted, record: h.record, mark: h.mark, seq: h.seq}
}

// knownAlready gives the verdict on a message whose id is held, or has ended of late.
func (r *Router) knownAlready(m Message) (v Verdict, known bool) {
	h := r.ids[m.ID]
	delivered, past := r.past.delivered[m.ID]
	if !past && r.cfg.EndedBefore != nil {
		delivered, past = r.cfg.EndedBefore(m.ID)
	}
	switch {
	case h == nil && !past:
		return Verdict{}, false
	case m.Long != nil: // its answer is owed to whoever handed it in first
		v = Verdict{Kind: AlreadyEnded}
	case h != nil: // handed in twice
		h.repeated = true
		v = Verdict{Kind: AlreadyAccepted, record: h.record, mark: h.mark, seq: h.seq}
	case delivered:
		v = Verdict{Kind: AlreadyAccepted}
	default:
		v = Verdict{Kind: AlreadyEnded}
	}
	r.counters.Repeated++
	return v, true
}

// refuseUnheard gives the verdict on a message that is not even decided on: it names what there is not, or there is no room for it.
func (r *Router) refuseUnheard(m Message) (v Verdict, refused bool) {
	_, classed := r.classes[m.Class]
	switch {
	case !classed:
		v = r.refuse(m, &r.counters.Unreadable, "unknown class")
		v.Kind = UnknownClass
	case len(r.groups) > 0 && !r.groups[m.Destination]:
		v = r.refuse(m, &r.counters.Unreadable, "unknown destination")
		v.Kind = UnknownDestination
	case r.cfg.Limiter != nil && !r.cfg.Limiter.Allows(m.Class):
		v = r.refuse(m, &r.counters.OverRate, "over rate")
	case m.Long != nil && !r.admitLong():
		v = r.refuse(m, &r.counters.LongRefused, "long messages")
	case m.Long == nil && len(r.ids)-r.longs >= r.cfg.Settings.MostHeld:
		v = r.refuse(m, &r.counters.TurnedAway, "most held")
	case r.cfg.Steering != nil && !r.cfg.Steering.Admit(m.Destination, m.Class):
		v = r.refuse(m, &r.counters.NoPlace, "no place")
	default:
		return Verdict{}, false
	}
	return v, true
}

// refuse counts a message that is not taken on, and tells of it.
func (r *Router) refuse(m Message, counter *int64, reason string) Verdict {
	*counter++
	r.sampleRefused(m, reason)
	return Verdict{Kind: Refused, RetryAfter: pushBack}
}

// answeredAtOnce looks for the module's answer to a message among its actions, and gives it with the other actions.
func (r *Router) answeredAtOnce(h *held, actions []mb.Action) (v Verdict, others []mb.Action, answered bool) {
	for i, a := range actions {
		switch a := a.(type) {
		case mb.Refuse:
			if uint64(a.ID) != h.seq {
				continue
			}
			r.counters.RefusedAtOnce++
			v = Verdict{Kind: Refused, RetryAfter: a.RetryAfter}
		case mb.Fail:
			if uint64(a.ID) != h.seq {
				continue
			}
			r.counters.FailedAtOnce++
			v = Verdict{Kind: Failed}
		default:
			continue
		}
		return v, append(actions[:i:i], actions[i+1:]...), true
	}
	return Verdict{}, actions, false
}

// revoke takes a message back from the module that was decided on and could not be journalled: no call of it may leave, and the one
// that was decided on gives its slot back.
func (r *Router) revoke(h *held, actions []mb.Action) {
	var others []mb.Action
	events := []mb.Event{mb.MessageCancelled{ID: mb.MessageID(h.seq)}}
	for _, a := range actions {
		send, sends := a.(mb.Send)
		if !sends || uint64(send.ID) != h.seq {
			others = append(others, a)
			continue
		}
		events = append(events, mb.Answer{ID: send.ID, Attempt: h.attempts, Endpoint: send.Endpoint, Outcome: mb.NotSent, Settled: true})
	}
	r.perform(others)
	r.decide(events...)
}

// hold books a message that is journalled.
func (r *Router) hold(h *held, entry *wal.Message) {
	r.counters.Taken++
	if r.bookLong(h, 1); h.Long != nil {
		r.counters.LongTaken++
	}
	h.Body, h.onDisk, h.record = entry.Body, entry.OnDisk, r.cfg.Log.LastRecord()
	r.messages[h.seq], r.ids[h.ID] = h, h
	if r.cfg.Replication != nil {
		h.mark = r.cfg.Replication.LogPosition()
	}
}

package routing

import (
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Acceptance of messages: a message is either refused without a trace, or decided on, journalled and held. The
// functions below run on the router's goroutine only.

// accept decides on a submitted message.
func (r *Router) accept(message Message) Verdict {
	r.counters.Requests++
	r.expireEndedIDs()
	if verdict, known := r.checkDuplicate(message); known {
		return verdict
	}
	if verdict, refused := r.refuseBeforeDecision(message); refused {
		return verdict
	}
	unreplicated := r.cfg.Replication != nil && !r.cfg.Replication.MayAct()
	// Refuse a message that could not be replicated, or not be sent.
	if r.cfg.Replication != nil && (unreplicated && message.Long != nil || !r.cfg.Replication.CanAccept(message.Class)) {
		return r.refuse(message, &r.counters.NoReplica, "no replica")
	}
	// While no record can be written, refuse messages before they are decided on.
	if err := r.cfg.Log.Flush(); err != nil {
		r.noteJournalError(message.ID, err)
		return r.refuse(message, &r.counters.NoRoom, "journal not written")
	}
	maxTimeLeft := r.deliveryTimeouts[message.Class]
	if message.Long != nil {
		maxTimeLeft = r.cfg.Long.MaxTimeLeft
	}
	message.TimeLeft = min(message.TimeLeft, maxTimeLeft)
	held := &heldMessage{Message: message, seq: r.cfg.Log.NextSeq(), deadline: time.Now().Add(message.TimeLeft), unreplicated: unreplicated}
	entry := &wal.Message{
		Seq: held.seq, Deadline: held.deadline, Destination: message.Destination, ID: message.ID, Key: message.Key, Class: message.Class, Body: message.Body,
		Long: message.Long != nil,
	}
	reservation, fits := r.cfg.Log.Reserve(entry)
	if !fits {
		return r.refuse(message, &r.counters.NoRoom, "journal full")
	}
	defer reservation.Release()
	actions := r.decider.Handle(r.now(), []mb.Event{r.submission(held, message.TimeLeft)})
	if verdict, others, answered := r.immediateAnswer(held, actions); answered { // nothing was accepted
		r.sampleRefused(message, "decision module")
		r.perform(others)
		return verdict
	}
	if err := r.cfg.Log.AcceptReserved(reservation, entry); err != nil {
		r.noteJournalError(message.ID, err)
		r.revoke(held, actions)
		return r.refuse(message, &r.counters.NoRoom, "journal not written")
	}
	r.hold(held, entry)
	r.perform(actions)
	return Verdict{Kind: Accepted, recordNumber: held.acceptRecord, logPosition: held.logPosition, seq: held.seq}
}

// checkDuplicate returns the verdict on a message whose id is held or has ended recently.
func (r *Router) checkDuplicate(message Message) (verdict Verdict, known bool) {
	held := r.messagesByID[message.ID]
	delivered, ended := r.ended.delivered[message.ID]
	if !ended && r.cfg.EndedBefore != nil {
		delivered, ended = r.cfg.EndedBefore(message.ID)
	}
	switch {
	case held == nil && !ended:
		return Verdict{}, false
	case message.Long != nil: // only the first submission gets the result
		verdict = Verdict{Kind: AlreadyEnded}
	case held != nil: // submitted twice
		held.duplicateAnswered = true
		verdict = Verdict{Kind: AlreadyAccepted, recordNumber: held.acceptRecord, logPosition: held.logPosition, seq: held.seq}
	case delivered:
		verdict = Verdict{Kind: AlreadyAccepted}
	default:
		verdict = Verdict{Kind: AlreadyEnded}
	}
	r.counters.Duplicates++
	return verdict, true
}

// refuseBeforeDecision returns the verdict on a message that the module is not asked about: its class or destination is
// unknown, or there is no room for it.
func (r *Router) refuseBeforeDecision(message Message) (verdict Verdict, refused bool) {
	_, knownClass := r.deliveryTimeouts[message.Class]
	switch {
	case !knownClass:
		verdict = r.refuse(message, &r.counters.Invalid, "unknown class")
		verdict.Kind = UnknownClass
	case len(r.knownDestinations) > 0 && !r.knownDestinations[message.Destination]:
		verdict = r.refuse(message, &r.counters.Invalid, "unknown destination")
		verdict.Kind = UnknownDestination
	case !r.ended.hasRoom(r.cfg.EndedIDBytes, message.ConnectionAccepted):
		verdict = r.refuse(message, &r.counters.OverEndedIDs, "too many ended ids")
	case r.cfg.Limiter != nil && !r.cfg.Limiter.Allows(message.Class):
		verdict = r.refuse(message, &r.counters.OverRateLimit, "class rate limit")
	case message.Long != nil && !r.admitLong():
		verdict = r.refuse(message, &r.counters.LongRefused, "long message limits")
	case message.Long == nil && len(r.messagesByID)-r.longCount >= r.cfg.Settings.MostHeld:
		verdict = r.refuse(message, &r.counters.OverMaxHeld, "most-held reached")
	case r.cfg.Steering != nil && !r.cfg.Steering.Admit(message.Destination, message.Class):
		verdict = r.refuse(message, &r.counters.NoZone, "no zone has room")
	default:
		return Verdict{}, false
	}
	return verdict, true
}

// refuse counts and samples a refused message.
func (r *Router) refuse(message Message, counter *int64, reason string) Verdict {
	*counter++
	r.sampleRefused(message, reason)
	return Verdict{Kind: Refused, RetryAfter: fullRetryAfter}
}

// immediateAnswer extracts the module's refusal or failure of a message from the actions, and returns it with the other
// actions.
func (r *Router) immediateAnswer(held *heldMessage, actions []mb.Action) (verdict Verdict, others []mb.Action, answered bool) {
	for i, a := range actions {
		switch a := a.(type) {
		case mb.Refuse:
			if uint64(a.ID) != held.seq {
				continue
			}
			r.counters.RefusedImmediately++
			verdict = Verdict{Kind: Refused, RetryAfter: a.RetryAfter}
		case mb.Fail:
			if uint64(a.ID) != held.seq {
				continue
			}
			r.counters.FailedImmediately++
			verdict = Verdict{Kind: Failed}
		default:
			continue
		}
		return verdict, append(actions[:i:i], actions[i+1:]...), true
	}
	return Verdict{}, actions, false
}

// revoke removes a message from the module that was decided on but could not be journalled. No call of it may start,
// and a call that was already decided on releases its slot.
func (r *Router) revoke(held *heldMessage, actions []mb.Action) {
	var others []mb.Action
	events := []mb.Event{mb.MessageCancelled{ID: mb.MessageID(held.seq)}}
	for _, a := range actions {
		send, sends := a.(mb.Send)
		if !sends || uint64(send.ID) != held.seq {
			others = append(others, a)
			continue
		}
		events = append(events, mb.Answer{ID: send.ID, Attempt: held.attempts, Endpoint: send.Endpoint, Outcome: mb.NotSent, Settled: true})
	}
	r.perform(others)
	r.decide(events...)
}

// hold registers a message that is in the journal.
func (r *Router) hold(held *heldMessage, entry *wal.Message) {
	r.counters.Accepted++
	if r.countLong(held, 1); held.Long != nil {
		r.counters.LongAccepted++
	}
	held.Body, held.bodyOnDisk, held.acceptRecord = entry.Body, entry.OnDisk, r.cfg.Log.LastRecord()
	r.messages[held.seq], r.messagesByID[held.ID] = held, held
	if r.cfg.Replication != nil {
		held.logPosition = r.cfg.Replication.LogPosition()
	}
}

package routing

import (
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Outcomes in doubt: a Caller may learn after a call that its answer may have been another call's. What was concluded
// from it is then taken back. The functions below run on the router's goroutine only.

const (
	// maxRevocableBytes bounds the bodies of delivered messages that are kept to send them again.
	maxRevocableBytes = 1 << 20
	// revocableTime is how long they are kept; a Caller's doubt comes sooner.
	revocableTime = 2500 * time.Millisecond
)

// revocableDeliveries holds the delivered messages that still have their bodies, oldest first.
type revocableDeliveries struct {
	queue []revocableDelivery
	bytes int
}

type revocableDelivery struct {
	held        *heldMessage
	deliveredAt time.Time
}

// add keeps the body of a message that was delivered now, and drops those that are too old or too many.
func (q *revocableDeliveries) add(held *heldMessage, now time.Time) {
	q.queue = append(q.queue, revocableDelivery{held, now})
	q.bytes += len(held.Body)
	for len(q.queue) > 0 && (q.bytes > maxRevocableBytes || now.Sub(q.queue[0].deliveredAt) > revocableTime) {
		oldest := q.queue[0].held
		q.bytes -= len(oldest.Body)
		oldest.Body, oldest.bodyDropped = nil, true
		q.queue = q.queue[1:]
	}
}

// mustNotRepeat reports whether a message of a class must not take effect twice.
func (r *Router) mustNotRepeat(class string) bool {
	effect, known := r.effects[class]
	return !known || effect == mb.Unsafe
}

// neverRan reports whether an outcome proves that the call had no effect.
func neverRan(outcome mb.Outcome) bool {
	return outcome == mb.Refused || outcome == mb.ConnectFailed || outcome == mb.NotSent
}

// repeatBudget limits the calls that are made only because a delivery is in doubt to a share of the deliveries, so that
// endpoints which write strays are not loaded without bound.
type repeatBudget struct{ tokens float64 }

const (
	repeatShare    = 0.1  // calls for each delivery
	maxRepeatBurst = 20.0 // calls at once
)

// earn counts a delivery.
func (b *repeatBudget) earn() { b.tokens = min(maxRepeatBurst, b.tokens+repeatShare) }

// take reports whether a further call may be made, and counts it.
func (b *repeatBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// consequences are what follows from an answer that was in doubt when it was read, for the log.
var consequences = map[messageEnd]string{notEnded: "discarded", endReported: "ended and reported"}

// outcomeInDoubt takes back what was concluded from a call's answer.
func (r *Router) outcomeInDoubt(call *outgoingCall) {
	held := call.message
	call.doubtReason = "stray on the connection"
	switch {
	case held.call == call:
		call.doubted = true // callEnded follows
	case held.completedBy == call && held.Long == nil:
		r.revokeEnd(call)
	case neverRan(call.outcome) && !held.ended:
		r.assumeRun(call)
	default: // the message was reported, or held as one that may have run
		r.sampleDoubt(call, "no change")
	}
}

// assumeRun records that a call which was refused may have run.
func (r *Router) assumeRun(call *outgoingCall) {
	held := call.message
	zone := r.endpoints[call.endpoint].Zone
	r.counters.RunInDoubt++
	r.sampleDoubt(call, "may have run")
	held.noteMayHaveRun(call.sentAt, zone)
	r.noteJournalError(held.ID, r.cfg.Log.MarkMayHaveRun(held.seq, call.sentAt, zone))
	r.decide(mb.AttemptMayHaveRun{ID: mb.MessageID(held.seq), PriorAttempt: mb.PriorAttempt{SentAgo: time.Since(call.sentAt), Zone: zone}})
}

// mayReopen reports whether a message that counted as ended is called again. An end other than a delivery is never
// reopened: the endpoints have said that they serve the message no more.
func (r *Router) mayReopen(call *outgoingCall) bool {
	held := call.message
	return call.outcome == mb.OK && !r.mustNotRepeat(held.Class) && !held.bodyDropped && !held.bodyOnDisk && r.cfg.Replication == nil &&
		time.Now().Before(held.deadline) && r.repeats.take()
}

// revokeEnd continues with a message that had ended without a report: a delivery that may be repeated is sent again, any
// other end is reported. If the answer was the call's own after all, neither does harm.
func (r *Router) revokeEnd(call *outgoingCall) {
	held := call.message
	held.completedBy = nil
	held.noteMayHaveRun(call.sentAt, r.endpoints[call.endpoint].Zone)
	sendAgain := r.mayReopen(call)
	entry := &wal.Message{
		Seq: r.cfg.Log.NextSeq(), Deadline: held.deadline, Destination: held.Destination, ID: held.ID, Key: held.Key, Class: held.Class,
		Attempts: held.attempts, MayHaveRun: true, RanAt: held.ranAt, RanZone: held.ranZone,
	}
	if sendAgain {
		entry.Body = held.Body
	} else {
		entry.Status = r.unrepeatedEnd(held)
	}
	if err := r.journalRevoked(entry); err != nil {
		r.noteJournalError(held.ID, err)
		r.reportRevoked(call, held, entry.Status == wal.Refused)
		return
	}
	again := r.heldFrom(entry)
	again.ranAt, again.ranZone, again.acceptRecord = held.ranAt, held.ranZone, r.cfg.Log.LastRecord()
	if !sendAgain {
		again.ended = true
		r.reportRevoked(call, again, entry.Status == wal.Refused)
		return
	}
	r.counters.SentAgainInDoubt++
	r.sampleDoubt(call, "sent again")
	r.ended.forget(held.ID)
	r.messages[again.seq], r.messagesByID[again.ID] = again, again
	r.resubmit(entry, again)
}

// journalRevoked journals a message whose end is revoked.
func (r *Router) journalRevoked(entry *wal.Message) error {
	reservation, fits := r.cfg.Log.ReserveTakenOver(entry)
	if !fits {
		return wal.ErrFull
	}
	defer reservation.Release()
	return r.cfg.Log.AcceptTakenOver(reservation, entry)
}

// reportRevoked reports a message whose end is revoked.
func (r *Router) reportRevoked(call *outgoingCall, held *heldMessage, returned bool) {
	r.counters.ReportedInDoubt++
	r.sampleDoubt(call, "reported")
	r.ended.revoke(held.ID)
	held.latestOutcome = mb.Doubtful
	r.report(held, returned, 0)
}

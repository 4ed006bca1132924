package routing

import (
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Long marks a message whose body is streamed from the client to the endpoint. The body is neither held nor journalled,
// so a later process cannot send it: a restart ends the message.
type Long struct {
	BodySource any // the Caller reads the body from it, and writes the answer to it
	// OnEnd is called once with the result, which is by then as durable as the journal's settings promise. It must not
	// block.
	OnEnd func(LongResult)
}

// LongResult is the end of a long message.
type LongResult struct {
	Kind       VerdictKind   // AlreadyAccepted if delivered, otherwise Refused or Failed
	RetryAfter time.Duration // with Refused: when the client may try again
	MayHaveRun bool          // with Refused or Failed
	TimedOut   bool          // with Failed
	// ClientAnswered must be called, unless it is nil, with whether the client received its answer. If not, a delivery
	// report is sent.
	ClientAnswered func(bool)
}

// LongLimits limits long messages. The zero value accepts none.
type LongLimits struct {
	MaxMessages int           // held or out at once
	Slots       int           // calls out at once
	MaxTimeLeft time.Duration // maximum time until the deadline
}

// answerGrace bounds how long the end of the process waits until clients are told how their long messages ended. It has
// to pass before the kill that follows a stop.
const answerGrace = 300 * time.Millisecond

// maxClosedIDs bounds the ids of ended long messages that are kept in the journal.
const maxClosedIDs = 512

// AcceptLong decides on a long message, whose Body is empty. If the verdict is Accepted, the message is in the journal,
// and its end is passed to Long.OnEnd.
func (r *Router) AcceptLong(m Message) Verdict { return r.Accept(m) }

// admitLong reports whether there is room for one more long message; otherwise it is refused with a retry-after.
func (r *Router) admitLong() bool {
	return r.longCount < r.cfg.Long.MaxMessages && r.longCalls < r.cfg.Long.Slots && r.stopAt.IsZero()
}

// countLong adds n to the number of long messages if the message is one.
func (r *Router) countLong(held *heldMessage, n int) {
	if held.Long != nil {
		r.longCount += n
	}
}

// recordDelivery journals a delivery reported by an endpoint, before the client can learn of it.
func (r *Router) recordDelivery(call *outgoingCall) {
	if !call.message.ended {
		r.end(call.message, wal.Completed, 0)
	}
}

// finishLong tells the client of a long message how it ended. The end is journalled by now; if this process ends before
// the client is told, the next one sends a delivery report.
func (r *Router) finishLong(held *heldMessage, ending wal.Status, retryAfter time.Duration) {
	result := LongResult{Kind: Failed, RetryAfter: retryAfter, MayHaveRun: held.mayHaveRun, TimedOut: held.timedOut()}
	if ending == wal.Refused {
		if result.Kind = Refused; retryAfter <= 0 {
			result.RetryAfter = fullRetryAfter
		}
	}
	r.unansweredLongs++
	result.ClientAnswered = func(answered bool) {
		r.post(func() {
			if r.unansweredLongs--; answered {
				r.counters.LongAnswered++
				r.journalReported(held)
			} else {
				r.report(held, ending == wal.Refused, retryAfter)
			}
		})
	}
	r.reportAfterRecords(held, time.Now().Add(longEndRecordWait), true, func() { held.Long.OnEnd(result) })
}

// timedOut reports whether the deadline of the message, or of its latest attempt, has passed.
func (held *heldMessage) timedOut() bool {
	return !time.Now().Before(held.deadline) || held.attempts > 0 && (held.latestOutcome == mb.TimedOut || held.latestOutcome == mb.Cancelled)
}

// journalReported journals that the end of a message was reported. For a long message that may have run and must not
// run again, the journal keeps the id, so that a later process does not accept it again.
func (r *Router) journalReported(held *heldMessage) {
	long := held.Long != nil || held.longInterrupted
	effect, known := r.effects[held.Class]
	keepID := long && held.mayHaveRun && r.ended.closed < maxClosedIDs && known && effect != mb.Safe
	if !keepID {
		r.noteJournalError(held.ID, r.cfg.Log.End(held.seq, wal.Completed, 0))
		return
	}
	if r.ended.closeLong(held.ID, held.seq) {
		r.noteJournalError(held.ID, r.cfg.Log.End(held.seq, wal.Closed, 0))
		return
	}
	r.noteJournalError(held.ID, r.cfg.Log.End(held.seq, wal.Completed, 0)) // its id has expired by now
}

// completeLong tells the client of a long message that no further attempt is made: it was delivered, or is no
// longer wanted.
func (r *Router) completeLong(held *heldMessage, delivered bool) {
	result := LongResult{Kind: AlreadyAccepted}
	if !delivered {
		result = LongResult{Kind: Failed, MayHaveRun: held.mayHaveRun, TimedOut: true}
	}
	r.cfg.Log.AfterCommit(func(error) { held.Long.OnEnd(result) })
}

// endWaitingLongs ends the long messages that wait for a call at the end of the process; calls that are out have been
// cancelled.
func (r *Router) endWaitingLongs() {
	for _, held := range r.messagesByID {
		if held.Long == nil || held.call != nil {
			continue
		}
		ending := wal.Refused
		if held.mayHaveRun {
			ending = wal.Failed
		}
		r.finishWithReport(held, ending, shutdownRetryAfter)
		r.decide(mb.MessageCancelled{ID: mb.MessageID(held.seq)})
	}
}

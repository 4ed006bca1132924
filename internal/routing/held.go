package routing

import (
	"sync/atomic"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Held messages, from their acceptance or resumption to their end. The functions below run on the router's goroutine
// only.

// heldMessage is a message that has not ended, or that still has a call out.
type heldMessage struct {
	Message
	seq               uint64
	bodyOnDisk        bool      // the body is read from the journal for each call
	unreadableSince   time.Time // start of the first call that could not read the body
	acceptRecord      uint64    // number of the accept record; 0 for a message of an earlier process
	logPosition       uint64    // position of the accept record in the replicated log
	deadline          time.Time
	attempts          int
	call              *outgoingCall // the call that is out, if any
	ended             bool
	mayHaveRun        bool          // an attempt may have run
	ranAt             time.Time     // start of the first such attempt of this process
	ranZone           string        // zone that it was sent to
	completedBy       *outgoingCall // the call whose answer ended the message without a report
	bodyDropped       bool          // Body was dropped after the delivery
	duplicateAnswered bool          // a repeated submission was answered with AlreadyAccepted
	latestOutcome     mb.Outcome    // of the latest attempt
	longInterrupted   bool          // a long message of an earlier process, whose body is lost
	unreplicated      bool          // accepted while this process had no lease: no other forwarder has a copy
	suspended         bool          // withheld from the module, since this process may not act for it (yet)
	resubmitAfterCall bool          // goes back to the module when its call ends
	adopting          bool          // taken over from another process, and not activated yet
	reportDropped     atomic.Bool   // another forwarder sends the report
}

// noteMayHaveRun records that an attempt which started at a time may have run.
func (held *heldMessage) noteMayHaveRun(at time.Time, zone string) {
	held.mayHaveRun = true
	if held.ranAt.IsZero() || at.Before(held.ranAt) {
		held.ranAt, held.ranZone = at, zone
	}
}

// resume restores the messages of an earlier process and its unacknowledged reports. The module receives all messages
// in one batch: it examines all held messages at each event, so single submissions would make a start quadratic.
func (r *Router) resume() {
	live := r.cfg.Log.Live()
	var resubmissions []mb.Event
	for _, message := range live {
		held := r.heldFrom(message)
		if message.Status == wal.Closed {
			r.ended.add(held.ID, false, true, held.seq)
			continue
		}
		if message.Status != wal.Pending {
			if held.ended = true; held.longInterrupted {
				r.ended.add(held.ID, false, true, 0)
			}
			if r.cfg.Replication != nil {
				r.undecidedReports[held.seq] = held // a forwarder that took over from that process may have reported it
				continue
			}
			r.report(held, message.Status == wal.Refused, message.RetryAfter)
			continue
		}
		r.messages[held.seq], r.messagesByID[held.ID] = held, held
		r.counters.Resumed++
		if held.suspended = r.cfg.Replication != nil; !held.suspended {
			resubmissions = append(resubmissions, r.resubmission(message, held))
		}
	}
	if len(resubmissions) > 0 {
		r.decide(resubmissions...)
	}
	if len(live) > 0 {
		r.cfg.Logger.Info().Int64("messages", r.counters.Resumed).Int("notices", len(live)-int(r.counters.Resumed)-r.ended.closed).
			Msg("resumed messages of an earlier process")
	}
}

func (r *Router) heldFrom(message *wal.Message) *heldMessage {
	deadline := message.Deadline
	// A later deadline means that the clock was set back.
	if latest := time.Now().Add(max(r.longestTimeout, r.cfg.Long.MaxTimeLeft)); deadline.After(latest) {
		deadline = latest
	}
	return &heldMessage{
		Message: Message{ID: message.ID, Key: message.Key, Class: message.Class, Destination: message.Destination, Body: message.Body},
		seq:     message.Seq, deadline: deadline, attempts: message.Attempts, bodyOnDisk: message.OnDisk, longInterrupted: message.Long, mayHaveRun: message.MayHaveRun,
	}
}

func (r *Router) submission(held *heldMessage, timeLeft time.Duration) mb.Submit {
	return mb.Submit{
		ID: mb.MessageID(held.seq), Class: held.Class, TimeLeft: timeLeft, Destination: mb.DestinationID(held.Destination),
		Long: held.Long != nil,
	}
}

// expireEndedIDs forgets the ids of messages that ended so long ago that no client can repeat them.
func (r *Router) expireEndedIDs() {
	for _, seq := range r.ended.expire(r.longestTimeout, max(r.longestTimeout, r.cfg.Long.MaxTimeLeft)) {
		r.noteJournalError("", r.cfg.Log.End(seq, wal.Completed, 0))
	}
}

// finishWithReport ends a message with a delivery report, or with an answer to the client of a long message.
func (r *Router) finishWithReport(held *heldMessage, ending wal.Status, retryAfter time.Duration) {
	if held.ended {
		return
	}
	r.end(held, ending, retryAfter)
	held.dropReportedBody()
	if held.Long != nil {
		r.finishLong(held, ending, retryAfter)
		return
	}
	r.report(held, ending == wal.Refused, retryAfter)
}

// dropReportedBody releases the body of a message that ended with a report, once no call needs it: the report may wait long for
// its acknowledgement.
func (held *heldMessage) dropReportedBody() {
	if held.ended && held.completedBy == nil && held.call == nil {
		held.Body = nil
	}
}

// end registers and journals the end of a message, which stays in r.messages while a call is out.
func (r *Router) end(held *heldMessage, ending wal.Status, retryAfter time.Duration) {
	if held.ended {
		return
	}
	held.ended = true
	delete(r.messagesByID, held.ID)
	r.ended.add(held.ID, ending == wal.Completed, held.Long != nil || held.longInterrupted, 0)
	r.countLong(held, -1)
	if held.call == nil {
		delete(r.messages, held.seq)
	}
	r.noteJournalError(held.ID, r.cfg.Log.End(held.seq, ending, retryAfter))
}

func (r *Router) report(held *heldMessage, returned bool, retryAfter time.Duration) {
	if returned {
		r.counters.Returned++
		r.sample("message returned", held.lastOutcomeName(), held)
	} else {
		r.counters.Abandoned++
		r.sample("message abandoned", held.lastOutcomeName(), held)
	}
	r.pendingReports++
	report := DeliveryReport{ID: held.ID, Returned: returned, RetryAfter: retryAfter, Done: func() {
		r.post(func() {
			if held.reportDropped.Load() {
				return
			}
			delete(r.unacknowledged, held.seq)
			r.pendingReports--
			r.counters.Acknowledged++
			r.journalReported(held)
		})
	}}
	if r.cfg.Replication != nil {
		r.unacknowledged[held.seq] = held
		if !held.unreplicated {
			report.MaySend = r.maySendReport(held)
		}
	}
	// If the report were sent before the end is journalled, a kill could revive the message after its reported end.
	// After its deadline it would not be sent again, and a missing report is worse, so the report is sent then in any
	// case.
	r.reportAfterRecords(held, held.deadline, false, func() { r.cfg.Notifier.Notify(report) })
}

package routing

import (
	"errors"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Replication of held messages to other forwarders. Without a Replication nothing here is used. The state belongs to
// the router's goroutine; exported methods may be called from any goroutine.

// Replication replicates the router's journal to other forwarders, which may take its messages over.
type Replication interface {
	// MayAct reports whether this process may act for replicated messages now. It is called just before a call's first
	// byte, and must not block.
	MayAct() bool
	// LogPosition returns the position of the latest record in the replicated log. The router's goroutine calls it.
	LogPosition() uint64
	// WaitReplicated returns once all required replicas have the log up to a position. If no replica is available, it
	// returns true for a class that may go on without a replica, and an error for any other class.
	WaitReplicated(position uint64, class string) (unreplicated bool, err error)
	// Replicated reports, without blocking, whether WaitReplicated would return now.
	Replicated(position uint64, class string) bool
	// CanAccept reports, without blocking, whether a message of a class can be accepted now.
	CanAccept(class string) bool
	// ReplicatesStarts reports whether the calls of a class may start only after their start records are replicated.
	ReplicatesStarts(class string) bool
}

// OwnershipCheck reports whether a message of an earlier process still belongs to this forwarder.
type OwnershipCheck func(message *wal.Message) bool

// maxReportDelay bounds how long a delivery report waits until the reported end is replicated. Without the replica a
// forwarder that takes over could end the message another way, but a report that never comes is worse.
const maxReportDelay = 2 * time.Second

// maySendReport returns the MaySend function for the report on a replicated message.
func (r *Router) maySendReport(held *heldMessage) func() (now, never bool) {
	position, since := r.cfg.Replication.LogPosition(), time.Now()
	return func() (now, never bool) {
		replicated := r.cfg.Replication.Replicated(position, held.Class) || time.Since(since) > maxReportDelay
		return replicated && r.cfg.Replication.MayAct(), held.reportDropped.Load()
	}
}

// errStopped is returned for requests to a router that has stopped.
var errStopped = errors.New("routing: the router has stopped")

// mayActFor reports whether the router may act for a message now.
func (r *Router) mayActFor(held *heldMessage) bool {
	return r.cfg.Replication == nil || held.unreplicated || r.cfg.Replication.MayAct()
}

// Suspend stops all work on replicated messages, because this process may no longer act for them and another one may.
// Their calls are cancelled; the messages stay held until Continue.
func (r *Router) Suspend() {
	execute(r, func() bool {
		for _, held := range r.messages {
			if held.unreplicated || held.suspended || held.ended {
				continue
			}
			held.suspended = true
			if held.call != nil {
				held.call.cancelled = true
				held.call.cancel()
			}
			r.decide(mb.MessageCancelled{ID: mb.MessageID(held.seq)})
		}
		return true
	})
}

// Continue resumes work after Suspend or a start. Messages that still belong to this forwarder are decided on again,
// with their history; the others are released to the forwarder that took them over. Messages accepted without a replica
// are replicated like any other from here on.
func (r *Router) Continue(isOwn OwnershipCheck) {
	execute(r, func() bool {
		resumed, released := 0, 0
		for _, message := range r.cfg.Log.Live() {
			held := r.messages[message.Seq]
			switch {
			case held != nil && held.adopting, held == nil && message.Status == wal.Closed:
			case held != nil && held.unreplicated, isOwn(message):
				if held != nil && held.suspended && !held.ended {
					resumed++
				}
				r.continueMessage(message, held)
			default:
				released++
				r.releaseMessage(message, held)
			}
		}
		if released > 0 || resumed > 0 {
			r.cfg.Logger.Info().Int("messages", resumed).Int("elsewhere", released).Msg("resumed messages after a suspension or start")
		}
		return true
	})
}

// continueMessage resumes a single message.
func (r *Router) continueMessage(message *wal.Message, held *heldMessage) {
	if held == nil { // it has ended, and is not reported yet
		if ended := r.undecidedReports[message.Seq]; ended != nil {
			delete(r.undecidedReports, message.Seq)
			r.report(ended, message.Status == wal.Refused, message.RetryAfter)
		}
		return
	}
	held.unreplicated = false
	if !held.suspended || held.ended {
		return
	}
	if held.call != nil { // the end of its call resubmits it
		held.resubmitAfterCall = true
		return
	}
	held.suspended, held.resubmitAfterCall = false, false
	r.resubmit(message, held)
}

// resubmit submits an adopted or suspended message to the module, with its history.
func (r *Router) resubmit(message *wal.Message, held *heldMessage) {
	r.decide(r.resubmission(message, held))
}

// resubmission returns a message with its history as an event of the module.
func (r *Router) resubmission(message *wal.Message, held *heldMessage) mb.Submit {
	submit := r.submission(held, time.Until(held.deadline))
	// The body of a long message was lost with the earlier process.
	if submit.Long, submit.BodyConsumed, submit.Resumed = message.Long, message.Long, true; message.Long {
		r.counters.LongInterrupted++
	}
	held.mayHaveRun = held.mayHaveRun || message.MayHaveRun
	held.attempts = max(held.attempts, message.Attempts)
	if submit.Attempts = held.attempts; message.MayHaveRun {
		ago := time.Since(message.RanAt)
		if ago < 0 { // the clock was set back: the age is unknown, so the window for repeats counts as closed
			ago = pastClockRange
		}
		submit.MayHaveRun = &mb.PriorAttempt{SentAgo: ago, Zone: message.RanZone}
	}
	return submit
}

// releaseMessage drops a message that another forwarder took over. Its id stays known, since its client was told that
// it was accepted.
func (r *Router) releaseMessage(message *wal.Message, held *heldMessage) {
	if held != nil {
		delete(r.messagesByID, held.ID)
		if held.ended = true; held.call == nil {
			delete(r.messages, held.seq)
		} else if !held.call.cancelled {
			held.call.cancelled = true
			held.call.cancel()
		}
	}
	delete(r.undecidedReports, message.Seq)
	if reported := r.unacknowledged[message.Seq]; reported != nil {
		delete(r.unacknowledged, message.Seq)
		reported.reportDropped.Store(true)
		r.pendingReports--
	}
	r.ended.add(message.ID, true, false, 0)
	r.counters.LostToTakeover++
	r.noteJournalError(message.ID, r.cfg.Log.End(message.Seq, wal.Completed, 0))
}

// Adopt takes over the messages of an ended process without acting for them yet. They are journalled with that process
// as their owner, and the ids that ended there become known here. A message whose id is known here is skipped. Adopt
// returns the log position that must be replicated before Activate. On an error nothing was adopted; wal.ErrFull means
// that there is no room.
func (r *Router) Adopt(owner string, incarnation uint64, messages []*wal.Message, past []wal.CompletedID) (position uint64, err error) {
	adoptErr, served := execute(r, func() error {
		for _, p := range past {
			if _, known := r.ended.delivered[p.ID]; !known {
				r.ended.add(p.ID, p.Delivered, false, 0)
				r.cfg.Log.TapCompletedID(p)
			}
		}
		ended := map[string]bool{} // ended in earlier processes; their owners report them
		for _, list := range []map[uint64]*heldMessage{r.undecidedReports, r.unacknowledged} {
			for _, held := range list {
				ended[held.ID] = true
			}
		}
		var adoptees []*wal.Message
		listed := map[string]int{} // position in adoptees, by id
		for _, message := range messages {
			if held := r.messagesByID[message.ID]; held != nil {
				r.mergeProgress(held, message)
				continue
			}
			if _, done := r.ended.delivered[message.ID]; done || ended[message.ID] {
				continue
			}
			own := r.adoptedCopy(message, owner, incarnation)
			if i, twice := listed[message.ID]; twice {
				adoptees[i] = wal.Merge(adoptees[i], own)
				continue
			}
			listed[message.ID] = len(adoptees)
			adoptees = append(adoptees, own)
		}
		if err := r.adoptAll(adoptees); err != nil {
			return err
		}
		position = r.cfg.Replication.LogPosition()
		return nil
	})
	if !served {
		return 0, errStopped
	}
	return position, adoptErr
}

// adoptedCopy returns the copy of a message to journal when it is taken over from a process.
func (r *Router) adoptedCopy(message *wal.Message, owner string, incarnation uint64) *wal.Message {
	own := *message
	own.Owner, own.Incarnation = owner, incarnation
	own.SettleInFlight() // a call that was out has ended by now, and may have run
	if !r.cfg.Replication.ReplicatesStarts(own.Class) {
		// The calls of the message started without a replicated record, at an unknown time.
		own.AssumeRan(time.Now().Add(-pastClockRange))
	}
	return &own
}

// adoptAll journals all of the messages, or none of them: room for all is reserved before the first is written.
func (r *Router) adoptAll(messages []*wal.Message) error {
	reservations := make([]*wal.Reservation, 0, len(messages))
	defer func() {
		for _, reservation := range reservations {
			reservation.Release()
		}
	}()
	for _, message := range messages {
		reservation, fits := r.cfg.Log.ReserveTakenOver(message)
		if !fits {
			return wal.ErrFull
		}
		reservations = append(reservations, reservation)
	}
	var adopted []*heldMessage
	for i, message := range messages {
		message.Seq = r.cfg.Log.NextSeq()
		if err := r.cfg.Log.AcceptTakenOver(reservations[i], message); err != nil {
			for _, held := range adopted {
				r.dropAdopted(held)
			}
			return err
		}
		held := r.heldFrom(message)
		held.suspended, held.adopting, held.ended = true, true, message.Status != wal.Pending
		r.messages[held.seq], r.messagesByID[held.ID] = held, held
		adopted = append(adopted, held)
	}
	return nil
}

// mergeProgress merges the progress recorded in another replica into a message held here.
func (r *Router) mergeProgress(held *heldMessage, message *wal.Message) {
	own := r.cfg.Log.Message(held.seq)
	if own == nil || !held.suspended || held.ended {
		return
	}
	other := *message
	other.SettleInFlight()
	other.Seq = own.Seq
	if merged := wal.Merge(own, &other); merged.Attempts > own.Attempts || merged.MayHaveRun && (!own.MayHaveRun || merged.RanAt.Before(own.RanAt)) {
		r.noteJournalError(held.ID, r.cfg.Log.Progress(own.Seq, merged))
		held.attempts, held.mayHaveRun = merged.Attempts, merged.MayHaveRun
	}
}

// dropAdopted removes an adopted message again.
func (r *Router) dropAdopted(held *heldMessage) {
	delete(r.messages, held.seq)
	delete(r.messagesByID, held.ID)
	r.noteJournalError(held.ID, r.cfg.Log.Cancel(held.seq))
}

// Activate starts acting for the messages adopted from a process, or with on false removes them because another
// forwarder acts for them. It returns their number.
func (r *Router) Activate(owner string, incarnation uint64, on bool) int {
	n, _ := execute(r, func() (n int) {
		for _, message := range r.cfg.Log.Live() {
			held := r.messages[message.Seq]
			if held == nil || !held.adopting || message.Owner != owner || message.Incarnation != incarnation {
				continue
			}
			if n++; !on {
				r.dropAdopted(held)
				continue
			}
			if held.adopting = false; message.Status != wal.Pending {
				delete(r.messages, held.seq)
				delete(r.messagesByID, held.ID)
				r.ended.add(held.ID, false, false, 0)
				r.report(held, message.Status == wal.Refused, message.RetryAfter)
				continue
			}
			r.counters.TakenOver++
			held.suspended = false
			r.resubmit(message, held)
		}
		return n
	})
	return n
}

// Inspect calls f with the journal on the router's goroutine; no record is written meanwhile. It returns false if the
// router has stopped.
func (r *Router) Inspect(f func(log *wal.Log)) bool {
	_, served := execute(r, func() bool { f(r.cfg.Log); return true })
	return served
}

// endedIDsBatch bounds the ids that the router's goroutine visits at a time: all of some 100,000 ids would delay every
// message by tens of milliseconds.
const endedIDsBatch = 1024

// EndedIDs passes on the ids of ended messages in batches, so that messages are served in between. It calls each
// outside the router's goroutine, and last on it with the remaining ids, so that the journal seen by last matches
// exactly the ids passed on. It returns false if the router has stopped.
func (r *Router) EndedIDs(each func([]wal.CompletedID), last func(log *wal.Log, rest []wal.CompletedID)) bool {
	for cursor := (EndedCursor{}); ; {
		var batch []wal.CompletedID
		done, served := execute(r, func() bool {
			ids, next := r.ended.page(cursor, endedIDsBatch)
			now := time.Now()
			for _, p := range ids {
				batch = append(batch, wal.CompletedID{ID: p.ID, Delivered: p.Delivered, At: now.Add(-p.Age)})
			}
			if cursor = next; cursor.queue-r.ended.expired.queue < len(r.ended.queue) || cursor.long-r.ended.expired.long < len(r.ended.long) {
				return false
			}
			last(r.cfg.Log, batch)
			return true
		})
		if !served || done {
			return served
		}
		each(batch)
	}
}

// ApplyObservations replaces the module's external knowledge by what advise returns for the module's own; advise runs
// on the router's goroutine. It returns false if the router has stopped.
func (r *Router) ApplyObservations(advise func(own []mb.LearnedCircuit) []mb.LearnedCircuit) bool {
	_, served := execute(r, func() bool {
		r.decider.ApplyObservations(r.now(), advise(r.decider.Snapshot(r.now()).Circuits))
		r.decide() // the times that messages wait for may have changed
		return true
	})
	return served
}

// confirmReplicated waits, outside the router's goroutine, until an accepted message is replicated. If that is not
// known in time, a replica may still hold the message and take it over: the message stays, and the client gets no
// answer.
func (r *Router) confirmReplicated(message Message, verdict Verdict) Verdict {
	unreplicated, err := r.cfg.Replication.WaitReplicated(verdict.logPosition, message.Class)
	switch {
	case err != nil:
		r.post(func() { r.counters.NoReplica++ })
		return Verdict{Kind: Unconfirmed}
	case unreplicated:
		if _, served := execute(r, func() bool {
			r.noteJournalError(message.ID, r.cfg.Log.MarkUnreplicated(verdict.seq))
			r.counters.Unreplicated++
			return true
		}); !served {
			return Verdict{Kind: Stopped, RetryAfter: shutdownRetryAfter}
		}
	}
	return verdict
}

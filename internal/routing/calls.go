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

// Outgoing calls. The functions below run on the router's goroutine only, except where a call's own goroutine is named.

// outgoingCall is a call from its Send action until its connection carries nothing of it any more.
type outgoingCall struct {
	message          *heldMessage
	number           int
	endpoint         string
	sentAt           time.Time
	cutAt            time.Time
	begun            bool       // its first byte may have been written
	outcome          mb.Outcome // valid once the call has ended
	status           int        // of its answer; 0 if there was none
	doubted          bool       // its answer may have been another call's
	doubtReason      string
	permissionTime   time.Duration // waiting for the journal and the replicas, not for the endpoint
	startPosition    uint64        // position of the start record in the replicated log
	cancelled        bool
	timedOutByModule bool          // the module cancelled it after too long without an answer
	journalDelay     time.Duration // time that the first byte waited for the journal to be writable
	ctx              context.Context
	cancel           context.CancelFunc
}

// maxRequestTransit bounds the time between the client's sending of a request and its arrival here. A message's time to
// live counts from the sending, which is not visible on this side: the deadline computed here may be later than the
// client's by this much.
const maxRequestTransit = 10 * time.Millisecond

// answerDeadline returns the time until which an answer is waited for. An answer in the last moments before the
// deadline may be too late for the client, and the message would then end without a report. The call is therefore
// abandoned a little earlier and the end reported. If hardly any time is left, half of it is used.
func answerDeadline(now, deadline time.Time) time.Time {
	return deadline.Add(-min(maxRequestTransit, max(0, deadline.Sub(now)/2)))
}

func (r *Router) send(a mb.Send) {
	held := r.messages[uint64(a.ID)]
	if held == nil || r.stopped { // the next process sends it
		return
	}
	if held.call != nil {
		r.cfg.Logger.Error().Str("part", "module").Msg("the module asked for a second concurrent call of a message, which was not made")
		return
	}
	now := time.Now()
	call := &outgoingCall{message: held, number: held.attempts, endpoint: string(a.Endpoint), sentAt: now, cutAt: answerDeadline(now, held.deadline)}
	if moduleDeadline := r.wallClock(a.CutAt); a.CutAt > 0 && moduleDeadline.Before(call.cutAt) {
		call.cutAt = moduleDeadline
	}
	held.call = call
	held.attempts++
	r.callsOut++
	if held.Long != nil {
		r.longCalls++
	}
	r.counters.Calls++
	ctx, cancel := context.WithDeadline(r.callContext, call.cutAt)
	call.ctx, call.cancel = ctx, cancel
	attempt := Attempt{
		ID: held.ID, Key: held.Key, Body: held.Body, Endpoint: call.endpoint, Address: r.endpoints[call.endpoint].Address, Deadline: call.cutAt,
		NewConnection: a.NewConnection, MustNotRepeat: r.mustNotRepeat(held.Class), Retry: call.number > 0,
		Begin:   func() bool { return r.timedPermitStart(call) },
		OnDoubt: func() { r.post(func() { r.outcomeInDoubt(call) }) },
		OnRetryAfter: func(wait time.Duration) {
			r.post(func() { r.decider.ApplyRetryAfter(r.now(), mb.DestinationID(held.Destination), wait) })
		},
	}
	if held.Long != nil {
		attempt.BodySource = held.Long.BodySource
		attempt.RecordDelivery = func() bool {
			record, served := execute(r, func() uint64 { r.recordDelivery(call); return r.cfg.Log.LastRecord() })
			if served {
				_ = r.cfg.Log.Commit(record) // it is delivered even if the commit fails
			}
			return served
		}
	}
	if !r.reserveCall(r.endpoints[call.endpoint]) {
		r.counters.CallsSuppressed++
		cancel()
		r.callTasks.Go(func() error { r.post(func() { r.callEnded(call, Result{Outcome: mb.NotSent}) }); return nil })
		return
	}
	r.callTasks.Go(func() error {
		defer cancel()
		if held.bodyOnDisk {
			body, err := r.readBody(ctx, held.seq)
			if err != nil {
				r.post(func() { r.bodyUnreadable(call, err) })
				return nil
			}
			attempt.Body = body
		}
		result := r.cfg.Caller.Call(ctx, attempt)
		r.post(func() { r.callEnded(call, result) })
		return nil
	})
}

// timedPermitStart calls permitStart and, with a Steering, adds the time it took to the call's permissionTime.
func (r *Router) timedPermitStart(call *outgoingCall) bool {
	if r.cfg.Steering == nil {
		return r.permitStart(call)
	}
	started := time.Now()
	allowed := r.permitStart(call)
	call.permissionTime += time.Since(started)
	return allowed
}

// permission is the decision on whether a call's first byte may be written.
type permission int

const (
	forbidden permission = iota
	allowed
	unrecorded // retry later: the start cannot be journalled, and a later process would not know of the call
)

// permitStart decides whether a call's first byte may be written. It runs on the call's own goroutine. By its return
// the start record is as durable as the journal's settings promise; if that took time, all conditions are checked
// again.
func (r *Router) permitStart(call *outgoingCall) bool {
	record, mayStart := r.awaitStartRecord(call)
	replicateStart := r.cfg.Replication != nil && r.cfg.Replication.ReplicatesStarts(call.message.Class)
	if !mayStart || !r.cfg.Log.NeedsCommit() && !replicateStart {
		return mayStart
	}
	if r.cfg.Log.Commit(record) != nil {
		return false
	}
	if replicateStart { // a forwarder that takes over has to know that the message may have run
		if _, err := r.cfg.Replication.WaitReplicated(call.startPosition, call.message.Class); err != nil {
			return false
		}
	}
	_, mayStart = r.awaitStartRecord(call)
	return mayStart
}

// awaitStartRecord asks begin whether a call's first byte may be written, and retries while the journal cannot be
// written. It returns the number of the latest record by then.
func (r *Router) awaitStartRecord(call *outgoingCall) (record uint64, mayStart bool) {
	for {
		answer, _ := execute(r, func() permission {
			decision := r.begin(call)
			record = r.cfg.Log.LastRecord()
			return decision
		})
		if answer != unrecorded {
			return record, answer == allowed
		}
		select {
		case <-time.After(journalRetryInterval):
			call.journalDelay += journalRetryInterval
		case <-call.ctx.Done():
			return 0, false
		}
	}
}

const (
	bodyReadTimeout   = 3 * time.Second // retries of a failed read of a message's body, over all of its calls
	bodyRetryInterval = 10 * time.Millisecond
)

// readBody reads a body that is kept on disk only, and retries failed reads for bodyReadTimeout.
func (r *Router) readBody(ctx context.Context, seq uint64) ([]byte, error) {
	began := time.Now()
	for {
		body, err := r.cfg.Log.Body(seq)
		if err == nil || !isDiskError(err) || time.Since(began) > bodyReadTimeout {
			return body, err
		}
		select {
		case <-time.After(bodyRetryInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isDiskError reports whether an error comes from the disk, and may pass, rather than from the data read.
func isDiskError(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno)
}

// bodyUnreadable ends a message whose body cannot be read, since no later call could be made either. A disk error ends
// only the call until bodyReadTimeout has passed.
func (r *Router) bodyUnreadable(call *outgoingCall, err error) {
	held := call.message
	if held.unreadableSince.IsZero() {
		held.unreadableSince = call.sentAt
	}
	if isDiskError(err) && time.Since(held.unreadableSince) < bodyReadTimeout {
		r.noteJournalError(held.ID, err)
		r.callEnded(call, Result{Outcome: mb.NotSent})
		return
	}
	r.counters.BodiesLost++
	r.journalWarning().Uint64("message", held.seq).Str("request", held.ID).Err(err).Msg("body not readable, message ended")
	ending := wal.Refused
	if held.mayHaveRun {
		ending = wal.Failed
	}
	r.finishWithReport(held, ending, fullRetryAfter)
	r.callEnded(call, Result{Outcome: mb.NotSent})
}

// begin decides whether a call's first byte may be written, and journals the start. Since the module's Send the list
// may have changed, the message may have ended, its deadline or its window for repeats may have passed, or a
// retry-after may have arrived.
func (r *Router) begin(call *outgoingCall) permission {
	endpoint, listed := r.endpoints[call.endpoint]
	switch {
	case r.hasEnded(call.message):
		r.counters.EndedNotCalled++
		r.sample("call not started", "message ended", call.message)
		return forbidden
	case r.stopped, call.cancelled, !time.Now().Before(call.cutAt):
		r.sample("call not started", "stopped, cancelled or out of time", call.message)
		return forbidden
	case !r.mayActFor(call.message):
		return r.suppressCall(call, "lease")
	case !listed, endpoint.State != mb.Serving, endpoint.Destination != call.message.Destination:
		return r.suppressCall(call, "list")
	case !r.decider.MayBegin(r.now(), mb.MessageID(call.message.seq)):
		return r.suppressCall(call, "retry-after or repeat window")
	}
	if call.begun { // retried on another connection, with nothing written yet
		return allowed
	}
	if r.cfg.Steering != nil && !r.cfg.Steering.Allows(endpoint.Destination, endpoint.Zone) {
		return r.suppressCall(call, "zone")
	}
	if err := r.cfg.Log.Started(call.message.seq, time.Now(), endpoint.Zone); err != nil {
		r.noteJournalError(call.message.ID, err)
		return unrecorded
	}
	if call.begun = true; r.cfg.Replication != nil {
		call.startPosition = r.cfg.Replication.LogPosition()
	}
	return allowed
}

// hasEnded reports whether the end of a message is known, of this message or of another one with its id.
func (r *Router) hasEnded(held *heldMessage) bool {
	_, known := r.ended.delivered[held.ID]
	return held.ended || known
}

// suppressCall counts and samples a call that must not start.
func (r *Router) suppressCall(call *outgoingCall, reason string) permission {
	r.counters.CallsSuppressed++
	r.sample("call not started", reason, call.message)
	return forbidden
}

// callEnded processes the end of a call.
func (r *Router) callEnded(call *outgoingCall, result Result) {
	held := call.message
	held.call = nil
	call.ctx, call.cancel = nil, nil // the call is remembered as long as its answer may be put in doubt
	r.callsOut--
	if held.Long != nil {
		r.longCalls--
	}
	outcome := result.Outcome
	if outcome == mb.TimedOut && call.cancelled {
		outcome = mb.Cancelled
	}
	if !call.begun && (outcome == mb.TimedOut || outcome == mb.Cancelled || outcome == mb.Reset) {
		outcome = mb.ConnectFailed
	}
	result.Outcome = outcome
	concluded := r.concludeCall(call, result)
	outcome = concluded.outcome
	call.outcome = outcome
	r.counters.outcome(outcome)
	r.sampleCall(call, outcome, result.Connection)
	r.reportToSteering(call, outcome, result.Waited)
	if limit := result.Limit; r.cfg.Steering != nil && !concluded.doubted && limit != nil && limit.Rate > 0 && !math.IsInf(limit.Rate, 1) {
		r.cfg.Steering.LimitReported(held.Destination, r.endpoints[call.endpoint].Zone, limit.Rate)
	}
	held.latestOutcome = outcome
	if call.begun {
		if concluded.mayHaveRun() {
			held.noteMayHaveRun(call.sentAt, r.endpoints[call.endpoint].Zone)
		}
		r.noteJournalError(held.ID, r.cfg.Log.Outcome(held.seq, concluded.mayHaveRun()))
	}
	r.endByCall(call, concluded, result.ReusedConnection)
	if held.ended {
		delete(r.messages, held.seq)
		held.dropReportedBody()
	} else if record := r.cfg.Log.Message(held.seq); held.resubmitAfterCall && record != nil {
		held.suspended, held.resubmitAfterCall = false, false
		defer r.resubmit(record, held)
	}
	if r.endpoints[call.endpoint].State != mb.Serving || r.endpoints[call.endpoint].Address == "" {
		r.cfg.Caller.CloseIdle(call.endpoint) // the list took the endpoint out of service while this call was out
	}
	// Zones are judged separately, and an answer in doubt is no evidence on its endpoint, but a retry-after applies to the
	// whole destination.
	if (r.cfg.Steering != nil || concluded.doubted) && result.RetryAfter > 0 {
		r.decider.ApplyRetryAfter(r.now(), mb.DestinationID(held.Destination), result.RetryAfter)
	}
	if concluded.doubted {
		result.RetryAfter, result.Limit = 0, nil
	}
	r.decide(mb.Answer{
		ID: mb.MessageID(held.seq), Attempt: call.number, Endpoint: mb.EndpointID(call.endpoint), Outcome: outcome,
		Latency: time.Since(call.sentAt) - call.journalDelay - result.Waited, Settled: concluded.end != notEnded || held.ended, RetryAfter: result.RetryAfter, Limit: result.Limit,
		ReusedConnection: result.ReusedConnection, BodyConsumed: result.BodyConsumed,
	})
}

// concludeCall decides what follows from the result of a call.
func (r *Router) concludeCall(call *outgoingCall, result Result) conclusion {
	call.status = result.Status
	if result.Certainty == InDoubt {
		call.doubtReason = result.DoubtReason
	}
	// The client of a long message has its answer by now: that delivery stands.
	if deliveredLong := call.message.Long != nil && result.Outcome == mb.OK; call.doubted && !deliveredLong {
		result.Certainty = InDoubt
	}
	concluded := conclude(result, !r.mustNotRepeat(call.message.Class))
	if result.Outcome == mb.OK && concluded.doubted && concluded.end == notEnded && !r.repeats.take() {
		concluded.end = endReported
	}
	if concluded.doubted {
		r.sampleDoubt(call, consequences[concluded.end])
	}
	return concluded
}

// endByCall ends the message of a call as its answer says.
func (r *Router) endByCall(call *outgoingCall, concluded conclusion, reusedConnection bool) {
	held := call.message
	switch concluded.end {
	case notEnded:
		return
	case endReported:
		r.finishWithReport(held, r.unrepeatedEnd(held), 0)
		return
	}
	if !held.ended {
		held.completedBy = call
	}
	r.end(held, wal.Completed, 0)
	delivered := concluded.outcome == mb.OK
	if delivered {
		r.repeats.earn()
	}
	if held.Long != nil {
		r.completeLong(held, delivered)
	} else if delivered && reusedConnection {
		r.revocable.add(held, time.Now())
	}
}

// unrepeatedEnd returns how a message ends that is not called again: its client may submit it again if it has surely not
// run, or if that does no harm.
func (r *Router) unrepeatedEnd(held *heldMessage) wal.Status {
	if !held.mayHaveRun || r.effects[held.Class] == mb.Safe {
		return wal.Refused
	}
	return wal.Failed
}

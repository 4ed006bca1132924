package routing

import (
	"github.com/rs/zerolog"

	mb "mulleinbeam"
)

// Counters counts messages, calls and reports since the start.
type Counters struct {
	Requests, Accepted, Duplicates                 int64 // submitted; accepted; repeated under a known id
	RefusedImmediately, FailedImmediately          int64 // by the module, before acceptance
	OverMaxHeld, NoRoom, Invalid                   int64 // over most-held; no journal room; unknown class or destination
	MessagesCancelled, Resumed                     int64 // client gone before its 202; restored from an earlier process
	BodiesLost                                     int64 // body not readable from the journal any more
	Calls, CallsSuppressed                         int64 // calls; calls stopped before their first byte
	EndedNotCalled                                 int64 // calls that did not start since the end of their message was known
	Doubtful                                       int64 // calls whose answer may have been another call's
	Delivered, Errors, RefusedByEndpoint, TimedOut int64 // call outcomes
	ConnectFailed, Reset, Cancelled, NotSent       int64
	Returned, Abandoned, Acknowledged              int64 // delivery reports
	LongAccepted, LongRefused, LongAnswered        int64 // accepted; no room; ended by an answer without delivery
	LongInterrupted                                int64 // long messages of an earlier process, ended at the start
	TakenOver, LostToTakeover                      int64 // taken over from other processes; lost to them
	OverEndedIDs                                   int64 // refused, since the ids of ended messages take too much memory
	EndedIDBytes                                   int64 // memory of these ids, now
	Displaced                                      int64 // endpoints not called since a newer process is at their address
	NoZone                                         int64 // refused, since the plan has no room for them in any zone
	OverRateLimit                                  int64 // refused, since the rate limit of their class is used up
	Unreplicated, NoReplica                        int64 // accepted without a replica; refused for lack of a replica
	WriteFailures                                  int64 // records that could not be written at once
	SentAgainInDoubt, ReportedInDoubt              int64 // delivered messages whose answer may have been another call's
	RunInDoubt                                     int64 // refused messages whose refusal may have been another call's
	ReportedUnwritten                              int64 // ends reported at the deadline, not journalled yet
	PendingRecords                                 int   // records waiting to be written, now
	Held, CallsOut                                 int   // now
	BodyBytes                                      int64 // of held messages, in memory, now
	LongHeld, LongCallsOut                         int   // now
}

// outcome counts the outcome of a call.
func (c *Counters) outcome(o mb.Outcome) {
	switch o {
	case mb.OK:
		c.Delivered++
	case mb.Failed:
		c.Errors++
	case mb.Refused:
		c.RefusedByEndpoint++
	case mb.TimedOut:
		c.TimedOut++
	case mb.ConnectFailed:
		c.ConnectFailed++
	case mb.Reset:
		c.Reset++
	case mb.Cancelled:
		c.Cancelled++
	case mb.NotSent:
		c.NotSent++
	case mb.Doubtful:
		c.Doubtful++
	}
}

// Log adds the counters to a log line, one object per group. Long messages are included only if long is true.
func (c Counters) Log(e *zerolog.Event, long bool) {
	if long {
		e.Dict("long", zerolog.Dict().Int64("taken", c.LongAccepted).Int64("refused", c.LongRefused).
			Int64("answered", c.LongAnswered).Int64("cut_by_restart", c.LongInterrupted).Int("held", c.LongHeld).Int("out", c.LongCallsOut))
	}
	e.Dict("in", zerolog.Dict().Int64("requests", c.Requests).Int64("taken", c.Accepted).Int64("repeated", c.Duplicates).
		Int64("refused", c.RefusedImmediately).Int64("failed", c.FailedImmediately).Int64("turned_away", c.OverMaxHeld).
		Int64("no_room", c.NoRoom).Int64("unreadable", c.Invalid).Int64("withdrawn", c.MessagesCancelled).
		Int64("resumed", c.Resumed).Int64("lost", c.BodiesLost).Int("held", c.Held).Int64("body_bytes", c.BodyBytes).
		Int64("over_ended_ids", c.OverEndedIDs).Int64("ended_id_bytes", c.EndedIDBytes))
	e.Dict("sent", zerolog.Dict().Int64("calls", c.Calls).Int64("held_back", c.CallsSuppressed).Int("out", c.CallsOut).
		Int64("ok", c.Delivered).Int64("error", c.Errors).Int64("full", c.RefusedByEndpoint).Int64("timed_out", c.TimedOut).
		Int64("connect_failed", c.ConnectFailed).Int64("reset", c.Reset).Int64("cancelled", c.Cancelled).Int64("moot", c.NotSent).Int64("ended_not_called", c.EndedNotCalled))
	if c.Displaced > 0 {
		e.Dict("list", zerolog.Dict().Int64("displaced", c.Displaced))
	}
	if c.NoZone > 0 {
		e.Dict("places", zerolog.Dict().Int64("refused", c.NoZone))
	}
	if c.OverRateLimit > 0 {
		e.Dict("configuration", zerolog.Dict().Int64("over_rate", c.OverRateLimit))
	}
	if c.TakenOver+c.LostToTakeover+c.Unreplicated+c.NoReplica > 0 {
		e.Dict("copies", zerolog.Dict().Int64("taken_over", c.TakenOver).Int64("elsewhere", c.LostToTakeover).
			Int64("alone", c.Unreplicated).Int64("refused", c.NoReplica))
	}
	if c.WriteFailures > 0 {
		e.Dict("journal", zerolog.Dict().Int64("unwritten", c.WriteFailures).Int64("told_unwritten", c.ReportedUnwritten).
			Int("waiting", c.PendingRecords))
	}
	if c.SentAgainInDoubt+c.ReportedInDoubt+c.RunInDoubt+c.Doubtful > 0 {
		e.Dict("doubt", zerolog.Dict().Int64("sent_again", c.SentAgainInDoubt).Int64("reported", c.ReportedInDoubt).
			Int64("may_have_run", c.RunInDoubt).Int64("answers", c.Doubtful))
	}
	e.Dict("notices", zerolog.Dict().Int64("handed_back", c.Returned).Int64("given_up", c.Abandoned).
		Int64("acknowledged", c.Acknowledged))
}

package routing

import (
	"github.com/rs/zerolog"

	mb "mulleinbeam"
)

// Counters counts what was taken in, sent and answered since the start.
type Counters struct {
	HandedIn, Taken, Repeated            int64 // requests; taken on; handed in again while held
	RefusedAtOnce, FailedAtOnce          int64 // by the module, before anything was owed
	TurnedAway, NoRoom, Unreadable       int64 // over most-held; no room on disk; unknown class or destination
	Withdrawn, Resumed                   int64 // client gone before its 202; of an earlier life
	Lost                                 int64 // body not readable in the journal any more
	Sends, HeldBack                      int64 // calls; those stopped before their first byte
	Delivered, Errors, Full, TimedOut    int64 // outcomes
	Unconnected, Reset, Cancelled, Moot  int64
	HandedBack, GivenUp, Acknowledged    int64 // notices
	LongTaken, LongRefused, LongAnswered int64 // long messages: taken on; no room; given up or refused on their connection
	LongCut                              int64 // of an earlier life, ended at the start
	TakenOver, Elsewhere                 int64 // of other lives, ended; of its own that others took over
	NoPlace                              int64 // refused, since the plan has room for it nowhere
	OverRate                             int64 // refused, since their class has a rate that is used up
	Alone, NoCopy                        int64 // taken on without a copy; refused for want of one
	Unwritten                            int64 // records that could not be written at once
	ToldUnwritten                        int64 // ends that were told at their message's time, not journalled yet
	Waiting                              int   // records that wait to be written, now
	Held, CallsOut                       int   // now
	LongHeld, LongOut                    int   // now
}

func (c *Counters) outcome(o mb.Outcome) {
	counts := map[mb.Outcome]*int64{
		mb.OK: &c.Delivered, mb.Failed: &c.Errors, mb.Refused: &c.Full, mb.TimedOut: &c.TimedOut,
		mb.ConnectFailed: &c.Unconnected, mb.Reset: &c.Reset, mb.Cancelled: &c.Cancelled, mb.NotSent: &c.Moot,
	}
	*counts[o]++
}

// Log adds the counters to a line of the log, long messages' only if there are any such. Each group is an object.
func (c Counters) Log(e *zerolog.Event, long bool) {
	if long {
		e.Dict("long", zerolog.Dict().Int64("taken", c.LongTaken).Int64("refused", c.LongRefused).
			Int64("answered", c.LongAnswered).Int64("cut_by_restart", c.LongCut).Int("held", c.LongHeld).Int("out", c.LongOut))
	}
	e.Dict("in", zerolog.Dict().Int64("requests", c.HandedIn).Int64("taken", c.Taken).Int64("repeated", c.Repeated).
		Int64("refused", c.RefusedAtOnce).Int64("failed", c.FailedAtOnce).Int64("turned_away", c.TurnedAway).
		Int64("no_room", c.NoRoom).Int64("unreadable", c.Unreadable).Int64("withdrawn", c.Withdrawn).
		Int64("resumed", c.Resumed).Int64("lost", c.Lost).Int("held", c.Held))
	e.Dict("sent", zerolog.Dict().Int64("calls", c.Sends).Int64("held_back", c.HeldBack).Int("out", c.CallsOut).
		Int64("ok", c.Delivered).Int64("error", c.Errors).Int64("full", c.Full).Int64("timed_out", c.TimedOut).
		Int64("connect_failed", c.Unconnected).Int64("reset", c.Reset).Int64("cancelled", c.Cancelled).Int64("moot", c.Moot))
	if c.NoPlace > 0 {
		e.Dict("places", zerolog.Dict().Int64("refused", c.NoPlace))
	}
	if c.OverRate > 0 {
		e.Dict("configuration", zerolog.Dict().Int64("over_rate", c.OverRate))
	}
	if c.TakenOver+c.Elsewhere+c.Alone+c.NoCopy > 0 {
		e.Dict("copies", zerolog.Dict().Int64("taken_over", c.TakenOver).Int64("elsewhere", c.Elsewhere).
			Int64("alone", c.Alone).Int64("refused", c.NoCopy))
	}
	if c.Unwritten > 0 {
		e.Dict("journal", zerolog.Dict().Int64("unwritten", c.Unwritten).Int64("told_unwritten", c.ToldUnwritten).
			Int("waiting", c.Waiting))
	}
	e.Dict("notices", zerolog.Dict().Int64("handed_back", c.HandedBack).Int64("given_up", c.GivenUp).
		Int64("acknowledged", c.Acknowledged))
}

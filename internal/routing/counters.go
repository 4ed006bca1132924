package routing

import (
	"fmt"

	mb "mulleinbeam"
)

// Counters counts what was taken in, sent and answered since the start.
type Counters struct {
	HandedIn, Taken, Repeated            int64 // requests; taken on; handed in again while held
	RefusedAtOnce, FailedAtOnce          int64 // by the module, before anything was owed
	TurnedAway, NoRoom, Unreadable       int64 // over most-held; no room on disk; unknown class or destination
	Withdrawn, Resumed                   int64 // consumer gone before its 202; of an earlier life
	Sends, HeldBack                      int64 // calls; those stopped before their first byte
	Delivered, Errors, Full, TimedOut    int64 // outcomes
	Unconnected, Reset, Cancelled, Moot  int64
	HandedBack, GivenUp, Acknowledged    int64 // notices
	LongTaken, LongRefused, LongAnswered int64 // long messages: taken on; no room; given up or refused on their connection
	LongCut                              int64 // of an earlier life, ended at the start
	Held, CallsOut                       int   // now
	LongHeld, LongOut                    int   // now
}

func (c *Counters) outcome(o mb.Outcome) {
	counts := map[mb.Outcome]*int64{
		mb.OK: &c.Delivered, mb.Failed: &c.Errors, mb.Full: &c.Full, mb.TimedOut: &c.TimedOut,
		mb.ConnectFailed: &c.Unconnected, mb.Reset: &c.Reset, mb.Cancelled: &c.Cancelled, mb.Moot: &c.Moot,
	}
	*counts[o]++
}

// Long is the line of counters of long messages.
func (c Counters) Long() string {
	return fmt.Sprintf("long: taken=%d refused=%d answered=%d cut_by_restart=%d held=%d out=%d",
		c.LongTaken, c.LongRefused, c.LongAnswered, c.LongCut, c.LongHeld, c.LongOut)
}

// String is the counters' lines for the log.
func (c Counters) String() string {
	return fmt.Sprintf("in: requests=%d taken=%d repeated=%d refused=%d failed=%d turned_away=%d no_room=%d unreadable=%d"+
		" withdrawn=%d resumed=%d held=%d\n"+
		"sent: calls=%d held_back=%d out=%d ok=%d error=%d full=%d timed_out=%d connect_failed=%d reset=%d cancelled=%d moot=%d\n"+
		"notices: handed_back=%d given_up=%d acknowledged=%d",
		c.HandedIn, c.Taken, c.Repeated, c.RefusedAtOnce, c.FailedAtOnce, c.TurnedAway, c.NoRoom, c.Unreadable,
		c.Withdrawn, c.Resumed, c.Held, c.Sends, c.HeldBack, c.CallsOut, c.Delivered, c.Errors, c.Full, c.TimedOut,
		c.Unconnected, c.Reset, c.Cancelled, c.Moot, c.HandedBack, c.GivenUp, c.Acknowledged)
}

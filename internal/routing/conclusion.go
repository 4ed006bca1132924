package routing

import mb "mulleinbeam"

// messageEnd says how a call ends its message.
type messageEnd int

// The values of messageEnd.
const (
	notEnded     messageEnd = iota
	endCompleted            // nothing is owed any more
	endReported             // its end has to be reported
)

// conclusion is what follows from the result of a call.
type conclusion struct {
	outcome mb.Outcome
	end     messageEnd
	doubted bool // the outcome is another than the answer says, since the answer is in doubt
}

// mayHaveRun reports whether the call may have taken effect.
func (c conclusion) mayHaveRun() bool { return c.doubted || !neverRan(c.outcome) }

// conclude decides what follows from the result of a call that was written. What it decides in doubt is right whether the
// answer was the call's own or another's:
//
//   - A message that is over, or that has had its attempts, is not called again. If the answer may have been another call's,
//     the end is reported, so that the message is not lost; for a message that is over, a report does no harm.
//   - A delivery in doubt may have run. The message is sent again if mayRepeat says that this does no harm, otherwise its
//     end is reported.
//   - A refusal in doubt may have run.
//   - Any other answer, or none, says that the call may have run. That holds in doubt, too.
func conclude(result Result, mayRepeat bool) conclusion {
	inDoubt := result.Certainty == InDoubt
	switch {
	case result.Outcome == mb.OK && !inDoubt, result.Final && result.Certainty == Certain:
		return conclusion{outcome: result.Outcome, end: endCompleted}
	case result.Final:
		return conclusion{outcome: result.Outcome, end: endReported, doubted: true}
	case result.NoAttemptsLeft:
		return conclusion{outcome: result.Outcome, end: endReported, doubted: result.Certainty != Certain}
	case inDoubt && result.Outcome == mb.OK && !mayRepeat:
		return conclusion{outcome: mb.Doubtful, end: endReported, doubted: true}
	case inDoubt && (result.Outcome == mb.OK || neverRan(result.Outcome)):
		return conclusion{outcome: mb.Doubtful, doubted: true}
	}
	return conclusion{outcome: result.Outcome}
}

package transport

import "time"

// How soon what discovery has to tell is learned, whatever becomes of calls to it. A change counts as told toldWithin after
// discovery had it and could be reached, and movedWithin after the reload that named another address.
//
// Let discovery have a change, and be within reach, from a moment R on. A call that starts behind R is answered at once: with the
// connection that it may need and with the reading of the list that takes answerRoom at the most. So it is enough that some
// call starts by R + nextWithin, nextWithin being toldWithin - answerRoom.
//
//   - Between two calls that are answered there is no pause; a watch that is open at R and not broken brings the change itself.
//   - A call that fails started at some s <= R and is given up callMost behind s at the latest, its connecting included. The
//     pause behind it ends nextWithin behind s, or retryPause behind its end; callMost + retryPause < nextWithin. So the next call
//     starts by s + nextWithin <= R + nextWithin, after any number of failures and whatever the fleet's size: Asking's pauses,
//     which spare a discovery that is overbooked, are cut there.
//   - A call that is answered with 4xx to its version is followed at once by one without a version.
//   - The first call of a life starts nextWithin behind the start at the latest.
//   - A call for the whole list is not to wait, and is given up listMost behind its start; behind a move all calls are such ones,
//     up to the first that is answered, and the next one starts movedNext behind the start of the one before it.
//
// TestToldInTime plays this over settings and fleets.
const (
	toldWithin  = 6 * time.Second
	movedWithin = 4 * time.Second
	answerRoom  = time.Second
	nextWithin  = toldWithin - answerRoom
	movedNext   = movedWithin - answerRoom
	callMost    = nextWithin - 250*time.Millisecond // of one call, from the opening of its connection on
	listMost    = movedNext - 500*time.Millisecond  // the same of one that has nothing to wait for
)

const (
	manyForwarders    = 8                      // from here on what one forwarder does is counted as what all do
	startPerForwarder = 50 * time.Millisecond  // of a fleet: its first calls come no closer than this in the mean
	pausePerForwarder = 100 * time.Millisecond // of a fleet: the same of its calls after a failure
	pauseVaries       = 0.5                    // of a pause
	boundVaries       = 0.2                    // of its bound: calls that are cut to it stay apart
	mostDoublings     = 8
)

// PollSchedule says when discovery is asked: at a start, and again after a failure. Where the list comes only to those that ask,
// discovery serves the whole fleet, and what it refuses costs it as well. PollSchedule again on a fixed beat is harmless from a few
// forwarders; from many that a release has started at once it is what keeps discovery overbooked, so that none of them learns
// the list. Pauses are a share of the fleet's, so that all forwarders together ask as often as a few would, as far as a change
// is still learned in time.
//
// The zero PollSchedule asks at once, and again after retryPause.
type PollSchedule struct {
	spread time.Duration  // the first call goes within this, by chance
	first  time.Duration  // pause after a failure
	most   time.Duration  // to which it grows
	chance func() float64 // from 0 to 1
}

// NewPollSchedule is for a fleet of so many forwarders, of which each has to ask once within a time. Zero is no such time: the list
// comes by itself.
func NewPollSchedule(forwarders int, within time.Duration, chance func() float64) PollSchedule {
	if forwarders < manyForwarders || within <= 0 {
		return PollSchedule{}
	}
	n := time.Duration(min(forwarders, int(within/startPerForwarder))) // beyond that the bounds below hold
	return PollSchedule{
		spread: min(n*startPerForwarder, within/2, nextWithin), first: min(n*pausePerForwarder, within), most: 2 * within, chance: chance,
	}
}

// start is how long after a start the first call goes.
func (a PollSchedule) start() time.Duration {
	if a.spread <= 0 {
		return 0
	}
	return time.Duration(a.chance() * float64(a.spread))
}

// again is the pause after so many failures in a row, the last of which took so long; moved says that no call has been answered
// since the address moved.
func (a PollSchedule) again(failures int, took time.Duration, moved bool) time.Duration {
	if a.first <= 0 {
		return retryPause
	}
	bound := nextWithin
	if moved {
		bound = movedNext
	}
	grown := min(a.first<<min(max(0, failures-1), mostDoublings), a.most)
	pause := (1 - pauseVaries*a.chance()) * float64(grown)
	return max(retryPause, min(time.Duration(pause), time.Duration((1-boundVaries*a.chance())*float64(bound))-took))
}

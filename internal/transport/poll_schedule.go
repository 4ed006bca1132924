package transport

import "time"

// Bounds on how soon a change of the discovery list is learned, whatever becomes of calls to discovery. A change is
// learned at most updateWithin after discovery had it and could be reached, and at most updateWithinAfterMove after
// the reload that named another discovery address.
//
// Let discovery have a change and be reachable from a time R on. A call that starts after R is answered at once:
// opening the connection, if needed, and reading the list take at most answerTime. So it is sufficient that some call
// starts by R + maxCallInterval, where maxCallInterval is updateWithin - answerTime.
//
//   - Between two calls that are answered there is no delay. A watch that is open at R and does not break delivers the
//     change itself.
//   - A call that fails and started at s <= R is abandoned at s + callTimeout at the latest, including its connect
//     time. The delay after it ends at s + maxCallInterval, or retryDelay after the call's end; callTimeout +
//     retryDelay < maxCallInterval. So the next call starts by s + maxCallInterval <= R + maxCallInterval, after any
//     number of failures and for any fleet size: the delays of PollSchedule, which relieve an overloaded discovery,
//     are capped there.
//   - A call whose version is answered with 4xx is followed at once by one without a version.
//   - The first call of a process starts at most maxCallInterval after the process starts.
//   - A call for the whole list does not wait for a change and is abandoned listCallTimeout after its start. After a
//     move all calls are of this kind until the first one is answered, and each starts at most
//     maxCallIntervalAfterMove after the start of the one before it.
//
// TestUpdateWithinBounds checks this over settings and fleet sizes.
const (
	updateWithin             = 6 * time.Second
	updateWithinAfterMove    = 4 * time.Second
	answerTime               = time.Second
	maxCallInterval          = updateWithin - answerTime
	maxCallIntervalAfterMove = updateWithinAfterMove - answerTime
	callTimeout              = maxCallInterval - 250*time.Millisecond          // of a call, including its connect time
	listCallTimeout          = maxCallIntervalAfterMove - 500*time.Millisecond // of a call for the whole list
)

const (
	largeFleet   = 8                      // from this fleet size on, delays grow with the size of the fleet
	startSpacing = 50 * time.Millisecond  // minimum mean interval between the first calls of a fleet's forwarders
	retrySpacing = 100 * time.Millisecond // minimum mean interval between the fleet's calls after a failure
	retryJitter  = 0.5                    // share of a delay that is random
	boundJitter  = 0.2                    // share of the delay's cap that is random: it keeps capped calls apart
	maxDoublings = 8
)

// PollSchedule decides when discovery is called: after the start and after each failure. Where the list is only sent
// on request, discovery serves the whole fleet, and refused calls cost it as well. Retries at a fixed interval are
// harmless with a few forwarders; with many that a release has started at once they keep discovery overloaded, so
// that none of the forwarders gets the list. Delays therefore grow with the fleet size, so that the whole fleet calls
// as often as a few forwarders would, as far as the bounds above allow.
//
// The zero PollSchedule calls at once and retries after retryDelay.
type PollSchedule struct {
	startSpread  time.Duration  // the first call starts at a random time within this
	initialDelay time.Duration  // after the first failure
	maxDelay     time.Duration  // limit of the delay's growth
	random       func() float64 // returns values from 0 to 1
}

// NewPollSchedule returns the schedule for a fleet of the given size in which each forwarder has to call once within
// the given time. If within is zero, the list is pushed and the schedule is the zero PollSchedule.
func NewPollSchedule(forwarders int, within time.Duration, random func() float64) PollSchedule {
	if forwarders < largeFleet || within <= 0 {
		return PollSchedule{}
	}
	n := time.Duration(min(forwarders, int(within/startSpacing))) // larger fleets reach the caps below
	return PollSchedule{
		startSpread:  min(n*startSpacing, within/2, maxCallInterval),
		initialDelay: min(n*retrySpacing, within), maxDelay: 2 * within, random: random,
	}
}

// startDelay returns how long after the process start the first call is made.
func (a PollSchedule) startDelay() time.Duration {
	if a.startSpread <= 0 {
		return 0
	}
	return time.Duration(a.random() * float64(a.startSpread))
}

// delayAfter returns the delay after a number of consecutive failures, of which the last call lasted took. moved
// reports whether the address has changed since the last answered call.
func (a PollSchedule) delayAfter(failures int, took time.Duration, moved bool) time.Duration {
	if a.initialDelay <= 0 {
		return retryDelay
	}
	bound := maxCallInterval
	if moved {
		bound = maxCallIntervalAfterMove
	}
	grown := min(a.initialDelay<<min(max(0, failures-1), maxDoublings), a.maxDelay)
	pause := (1 - retryJitter*a.random()) * float64(grown)
	return max(retryDelay, min(time.Duration(pause), time.Duration((1-boundJitter*a.random())*float64(bound))-took))
}

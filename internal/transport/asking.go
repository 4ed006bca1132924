package transport

import "time"

const (
	manyForwarders    = 8                      // from here on what one forwarder does is counted as what all do
	startPerForwarder = 50 * time.Millisecond  // of a fleet: its first calls come no closer than this in the mean
	pausePerForwarder = 100 * time.Millisecond // of a fleet: the same of its calls after a failure
	pauseVaries       = 0.5                    // of a pause
	mostDoublings     = 8
)

// Asking says when discovery is asked: at a start, and again after a failure. Where the list comes only to those that ask,
// discovery serves the whole fleet, and what it refuses costs it as well. Asking again on a fixed beat is harmless from a few
// forwarders; from many that a release has started at once it is what keeps discovery overbooked, so that none of them learns
// the list. Pauses are a share of the fleet's, so that all forwarders together ask as often as a few would.
//
// The zero Asking asks at once, and again after retryPause.
type Asking struct {
	spread time.Duration  // the first call goes within this, by chance
	first  time.Duration  // pause after a failure
	most   time.Duration  // to which it grows
	chance func() float64 // from 0 to 1
}

// AskingFor is for a fleet of so many forwarders, of which each has to ask once within a time. Zero is no such time: the list
// comes by itself.
func AskingFor(forwarders int, within time.Duration, chance func() float64) Asking {
	if forwarders < manyForwarders || within <= 0 {
		return Asking{}
	}
	n := time.Duration(min(forwarders, int(within/startPerForwarder))) // beyond that the bounds below hold
	return Asking{
		spread: min(n*startPerForwarder, within/2), first: min(n*pausePerForwarder, within), most: 2 * within, chance: chance,
	}
}

// start is how long after a start the first call goes.
func (a Asking) start() time.Duration {
	if a.spread <= 0 {
		return 0
	}
	return time.Duration(a.chance() * float64(a.spread))
}

// again is the pause after so many failures in a row.
func (a Asking) again(failures int) time.Duration {
	if a.first <= 0 {
		return retryPause
	}
	grown := min(a.first<<min(max(0, failures-1), mostDoublings), a.most)
	return max(retryPause, time.Duration((1-pauseVaries*a.chance())*float64(grown)))
}

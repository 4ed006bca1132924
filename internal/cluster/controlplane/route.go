package controlplane

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Relay is a process that forwards members' requests to the voters, and serves the committed state to members.
type Relay struct {
	Zone    string
	Address string // host:port; identifies the relay
}

// RankRelays orders relays for a member: those of its own zone first, and within each of the two groups by rendezvous
// hashing. So the members of a zone spread over its relays, and only those of a failed relay have to move.
func RankRelays(relays []Relay, member, zone string) []Relay {
	weight := func(r Relay) uint64 { return xxh3.HashString(member + "\x00" + r.Address) }
	near := func(r Relay) int {
		if r.Zone == zone {
			return 0
		}
		return 1
	}
	return slices.SortedFunc(slices.Values(relays), func(a, b Relay) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Address, b.Address))
	})
}

const (
	relayTimeout    = 400 * time.Millisecond // timeout for a renewal
	retryTimeout    = 200 * time.Millisecond // the same for a relay that timed out the last time
	timeoutSkip     = 10 * time.Second       // mean time for which a relay is skipped after a timeout,
	unreachableSkip = 400 * time.Millisecond // the same after a failed connection: the relay may be back at once,
	noLeaderSkip    = time.Second            // and the time for which one is skipped that found no leader
	voterSpread     = 600 * time.Millisecond // period over which members without a relay spread their requests to the voters: about half of a lease
)

// RouteStep is what a member does next.
type RouteStep int

// The steps of a route.
const (
	AskRelay  RouteStep = iota
	AskVoters           // no relay answers, or there are none
	Wait                // no relay answers, and it is too early to ask the voters
)

// Route chooses whom a member asks. It is pure: times are of the caller's clock, and spread is a random number from 0
// to 1 that the caller draws, so that members do not act at the same moment. It is not safe for concurrent use.
type Route struct {
	relays       []Relay // preferred first
	skipped      map[string]skippedRelay
	votersFrom   time.Duration // when the voters may be asked; 0 while a relay answers
	retriedEarly bool          // the latest step was an early retry of a relay that does not answer, as there is no other
}

// skippedRelay is the state of a relay that is skipped.
type skippedRelay struct {
	since, until time.Duration
	noAnswer     bool          // it did not answer at all
	timeout      time.Duration // timeout for the next attempt
}

// NewRoute returns a route over relays in order of preference.
func NewRoute(relays []Relay) *Route {
	return &Route{relays: relays, skipped: map[string]skippedRelay{}}
}

// Next returns the relay to ask, and the timeout. It takes the first relay that is not skipped, else one that answers,
// even if only to say that it finds no leader: requests of all members would not help the voters to elect one.
func (r *Route) Next(now time.Duration, spread float64) (step RouteStep, relay Relay, timeout time.Duration) {
	var withoutLeader *Relay
	for _, candidate := range r.relays {
		state, known := r.skipped[candidate.Address]
		switch {
		case !known:
			return AskRelay, candidate, relayTimeout
		case state.until <= now:
			return AskRelay, candidate, state.timeout
		case !state.noAnswer && (withoutLeader == nil || state.until < r.skipped[withoutLeader.Address].until):
			withoutLeader = &candidate
		}
	}
	switch {
	case withoutLeader != nil:
		return AskRelay, *withoutLeader, relayTimeout
	case len(r.relays) == 0:
		return AskVoters, Relay{}, 0
	case r.votersFrom == 0:
		r.votersFrom = now + 1 + fraction(voterSpread, spread)
	}
	if relay, ok := r.longestSkipped(now); ok && !r.retriedEarly {
		r.retriedEarly = true
		return AskRelay, relay, r.skipped[relay.Address].timeout
	}
	r.retriedEarly = false
	if now < r.votersFrom {
		return Wait, Relay{}, 0
	}
	return AskVoters, Relay{}, 0
}

// longestSkipped returns the relay whose last attempt is the longest ago, and whether that is long enough for an early
// retry. With no relay answering, one may have come back long before its skip time ends.
func (r *Route) longestSkipped(now time.Duration) (relay Relay, ok bool) {
	relay = slices.MinFunc(r.relays, func(a, b Relay) int {
		return cmp.Compare(r.skipped[a.Address].since, r.skipped[b.Address].since)
	})
	return relay, now-r.skipped[relay.Address].since >= unreachableSkip
}

// fraction returns a fraction of a duration.
func fraction(within time.Duration, spread float64) time.Duration {
	return time.Duration(spread * float64(within))
}

// TimedOut records that a relay did not answer in time.
func (r *Route) TimedOut(relay Relay, now time.Duration, spread float64) {
	r.skipped[relay.Address] = skippedRelay{now, now + timeoutSkip/2 + fraction(timeoutSkip, spread), true, retryTimeout}
}

// Unreachable records that a relay refused or closed the connection.
func (r *Route) Unreachable(relay Relay, now time.Duration, spread float64) {
	r.skipped[relay.Address] = skippedRelay{now, now + unreachableSkip/2 + fraction(unreachableSkip, spread), true, relayTimeout}
}

// NoLeader records that a relay answered that it finds no leader.
func (r *Route) NoLeader(relay Relay, now time.Duration) {
	r.votersFrom = 0
	r.skipped[relay.Address] = skippedRelay{now, now + noLeaderSkip, false, relayTimeout}
}

// Answered records that a relay handled a request.
func (r *Route) Answered(relay Relay) {
	r.votersFrom = 0
	delete(r.skipped, relay.Address)
}

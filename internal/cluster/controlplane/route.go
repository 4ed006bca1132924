package controlplane

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Relay is a process that carries requests of members to the voters, and what is decided back.
type Relay struct {
	Zone    string
	Address string // host:port; tells relays apart
}

// RankRelays orders relays for a member: those of its own zone first, and among those of one kind by rendezvous hashing, so that the members
// of a zone spread over its relays and only those of a relay that goes have to move.
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
	relayPatience  = 400 * time.Millisecond // how long a renewal's answer is waited for
	returnPatience = 200 * time.Millisecond // the same of a relay that took a connection, and had no answer the last time
	silentAside    = 10 * time.Second       // the mean time for which a relay is passed over that had no answer,
	goneAside      = 400 * time.Millisecond // the same of one that took no connection: it may be back at once,
	refusedAside   = time.Second            // and how long of one that found no leader
	directWithin   = 600 * time.Millisecond // in which members go to the voters that have no relay left, one behind the other: about half of a lease
)

// RouteStep is what a member does next.
type RouteStep int

// The steps.
const (
	AskRelay  RouteStep = iota
	AskVoters           // all relays are silent, or there are none
	Wait                // all relays are silent, and the time to ask the voters has not come
)

// Route chooses whom a member asks. It is pure: times are of the caller's clock, and so is chance: a spread is from 0 to 1, drawn by the
// caller, so that members do not all do the same at once. It is not safe for concurrent use.
type Route struct {
	relays []Relay // preferred first
	aside  map[string]aside
	direct time.Duration // from when on the voters may be asked; 0 while a relay answers
	probed bool          // the latest step was to try a silent relay again, since there is no other
}

// aside is a relay that did not do what it was asked for.
type aside struct {
	since, until time.Duration
	silent       bool          // it had no answer at all
	patience     time.Duration // how long its answer is waited for when it is tried again
}

// NewRoute begins with relays in the order of preference.
func NewRoute(relays []Relay) *Route { return &Route{relays: relays, aside: map[string]aside{}} }

// Next gives the relay to ask, and how long to wait for its answer. The first that is not passed over is taken; else one that answers, if
// only that it finds no leader: the voters would be no better off with everybody at their own door.
func (r *Route) Next(now time.Duration, spread float64) (step RouteStep, relay Relay, patience time.Duration) {
	var refused *Relay
	for _, candidate := range r.relays {
		state, known := r.aside[candidate.Address]
		switch {
		case !known:
			return AskRelay, candidate, relayPatience
		case state.until <= now:
			return AskRelay, candidate, state.patience
		case !state.silent && (refused == nil || state.until < r.aside[refused.Address].until):
			refused = &candidate
		}
	}
	switch {
	case refused != nil:
		return AskRelay, *refused, relayPatience
	case len(r.relays) == 0:
		return AskVoters, Relay{}, 0
	case r.direct == 0:
		r.direct = now + 1 + scatter(directWithin, spread)
	}
	if relay, some := r.longestSilent(now); some && !r.probed {
		r.probed = true
		return AskRelay, relay, r.aside[relay.Address].patience
	}
	r.probed = false
	if now < r.direct {
		return Wait, Relay{}, 0
	}
	return AskVoters, Relay{}, 0
}

// longestSilent is the relay that has been left alone for the longest, if that is long enough to try it once more: all are silent, and one of
// them may have come back long before its time.
func (r *Route) longestSilent(now time.Duration) (relay Relay, some bool) {
	relay = slices.MinFunc(r.relays, func(a, b Relay) int {
		return cmp.Compare(r.aside[a.Address].since, r.aside[b.Address].since)
	})
	return relay, now-r.aside[relay.Address].since >= goneAside
}

// scatter is a part of a time.
func scatter(within time.Duration, spread float64) time.Duration {
	return time.Duration(spread * float64(within))
}

// TimedOut notes that a relay had no answer.
func (r *Route) TimedOut(relay Relay, now time.Duration, spread float64) {
	r.aside[relay.Address] = aside{now, now + silentAside/2 + scatter(silentAside, spread), true, returnPatience}
}

// Unreachable notes that a relay took no connection, or closed it.
func (r *Route) Unreachable(relay Relay, now time.Duration, spread float64) {
	r.aside[relay.Address] = aside{now, now + goneAside/2 + scatter(goneAside, spread), true, relayPatience}
}

// NoLeader notes that a relay answered that it finds no leader.
func (r *Route) NoLeader(relay Relay, now time.Duration) {
	r.direct = 0
	r.aside[relay.Address] = aside{now, now + refusedAside, false, relayPatience}
}

// Answered notes that a relay did what it was asked for.
func (r *Route) Answered(relay Relay) {
	r.direct = 0
	delete(r.aside, relay.Address)
}

package council

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
	returnPatience = 200 * time.Millisecond // the same of a relay that had no answer the last time
	silentAside    = 10 * time.Second       // how long a relay is passed over that had no answer,
	refusedAside   = time.Second            // and one that found no leader
)

// Route chooses the relay that a member asks. It is pure: times are of the caller's clock. It is not safe for concurrent use.
type Route struct {
	relays []Relay // preferred first
	aside  map[string]aside
}

// aside is a relay that did not do what it was asked for.
type aside struct {
	until  time.Duration
	silent bool // it had no answer at all
}

// NewRoute begins with relays in the order of preference.
func NewRoute(relays []Relay) *Route { return &Route{relays: relays, aside: map[string]aside{}} }

// Next gives the relay to ask, and how long to wait for its answer. The first that is not passed over is taken; else one that answers, if
// only that it finds no leader: the voters would be no better off with everybody at their own door. False says that all are silent, or
// that there are none: the voters have to be asked.
func (r *Route) Next(now time.Duration) (relay Relay, patience time.Duration, some bool) {
	var refused *Relay
	for _, candidate := range r.relays {
		state, known := r.aside[candidate.Address]
		switch {
		case !known:
			return candidate, relayPatience, true
		case state.until <= now && state.silent:
			return candidate, returnPatience, true
		case state.until <= now:
			return candidate, relayPatience, true
		case !state.silent && (refused == nil || state.until < r.aside[refused.Address].until):
			refused = &candidate
		}
	}
	if refused == nil {
		return Relay{}, 0, false
	}
	return *refused, relayPatience, true
}

// Silent notes that a relay had no answer. Spread is from 0 to 1, and drawn by the caller: members do not return all at once.
func (r *Route) Silent(relay Relay, now time.Duration, spread float64) {
	r.aside[relay.Address] = aside{now + silentAside/2 + time.Duration(spread*float64(silentAside)), true}
}

// Refused notes that a relay answered that it finds no leader.
func (r *Route) Refused(relay Relay, now time.Duration) {
	r.aside[relay.Address] = aside{now + refusedAside, false}
}

// Answered notes that a relay did what it was asked for.
func (r *Route) Answered(relay Relay) { delete(r.aside, relay.Address) }

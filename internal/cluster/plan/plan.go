package plan

import (
	"cmp"
	"slices"
	"time"
)

// Plan is what is in force until it runs out, or a later one is heard.
type Plan struct {
	Version uint64        // grows; the council's
	Hold    time.Duration // for so long after it was asked for
	State   uint64        // the council's version of who the forwarders are; who joined later goes by the rule until the next
	Grants  []Quota       // sorted by destination, origin and place
	Floors  []Quota       // what some may still go by of earlier plans, beyond these
	Sites   []Site        // what the planner goes on from; who leads next begins with these
	Sick    []string      // forwarders whose own network is bad
	Frozen  bool
	Moves   []Move // that it makes against the one before
}

// Quota lets the forwarders of a place send so much to a place, for one destination. What is granted nowhere is to be turned away.
type Quota struct {
	Destination int64
	From, To    string
	Rate        float64 // calls a second, of all forwarders there together; near it is no bound, but what is wanted
	Bound       float64 // calls a second that near takes from all of them together while it returns; 0 is no bound
	Each        float64 // and of one of them, of Bound if there is one: more forwarders than there are never send more
	Share       float64 // of what is handed in there for the destination, as the planner knew it
	Trial       bool    // only to see whether the place, or the way, is well again
}

// Phase is how a place stands with a destination.
type Phase uint8

// The phases.
const (
	Open   Phase = iota // takes what its capacity allows
	Down                // takes trials alone
	Return              // takes ever more, as one that comes back cold
)

func (p Phase) String() string { return [...]string{"open", "down", "returning"}[p] }

// Site is a destination's endpoints in one place, as the planner goes on from.
type Site struct {
	Destination int64
	Place       string
	Phase       Phase
	Since       time.Duration // in this phase: how long
	Rest        time.Duration // Down: until trials count
	Good, Bad   int           // windows in a row
	Flaps       int           // times it went down soon after a return
	Usual       time.Duration // median of its calls while all was well
	Slow        float64       // share of its capacity that its slowness leaves; 1 is all
	Found       float64       // share of its capacity that it was found to have; 1 is all
	Cut         []string      // places from which the way here is cut
	Why         string
	Refuses     bool // much, in the last window
}

// Move is a line for the operators.
type Move struct {
	Destination int64
	From, Place string
	Kind        string // out, back, path cut, path back, slow, crossing, near again
	Why         string // with the evidence
}

// find is the grant for a way, if there is one.
func (p *Plan) find(destination int64, from, to string) (Quota, bool) {
	if p == nil {
		return Quota{}, false
	}
	i, ok := slices.BinarySearchFunc(p.Grants, Quota{Destination: destination, From: from, To: to}, compareGrants)
	if !ok {
		return Quota{}, false
	}
	return p.Grants[i], true
}

func compareGrants(a, b Quota) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}

// QuotasFrom gives the grants of a place for a destination.
func (p *Plan) QuotasFrom(destination int64, from string) []Quota {
	at, _ := slices.BinarySearchFunc(p.Grants, Quota{Destination: destination, From: from}, compareGrants)
	end := at
	for end < len(p.Grants) && p.Grants[end].Destination == destination && p.Grants[end].From == from {
		end++
	}
	return p.Grants[at:end]
}

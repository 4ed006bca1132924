package plan

import (
	"cmp"
	"slices"
	"time"
)

// Plan assigns quotas to the zones. It is in force until it expires or a later version arrives.
type Plan struct {
	Version uint64        // assigned by the control plane; it only grows
	Hold    time.Duration // validity, counted from the request that fetched it
	State   uint64        // version of the member list; later joiners use the fallback until the next plan
	Grants  []Quota       // sorted by destination, origin zone and target zone
	Floors  []Quota       // rates above Grants that forwarders may still use under earlier plans
	Sites   []Site        // planner state, from which the next leader's planner continues
	Sick    []string      // outlier observers: forwarders whose own network is faulty
	Frozen  bool
	Moves   []Move // changes against the previous plan
}

// Quota allows the forwarders of a zone a rate of calls to a zone, for one destination. Traffic without a quota is
// rejected.
type Quota struct {
	Destination int64
	From, To    string
	Rate        float64 // calls per second of all forwarders in From; the expected rate, not a limit, if To is From
	Bound       float64 // calls per second that the local zone accepts during slow start; 0 is unlimited
	Each        float64 // one forwarder's part of Rate, or of Bound, at the largest recent number of forwarders
	Share       float64 // of the origin zone's demand for the destination, as the planner knew it
	Trial       bool    // only probes whether the zone or the route has recovered
}

// Phase is the health state of a site.
type Phase uint8

// Phases of a site.
const (
	Open   Phase = iota // accepts calls up to its capacity
	Down                // ejected: accepts probe calls only
	Return              // slow start: accepts a growing share of its capacity after an outage
)

func (p Phase) String() string { return [...]string{"open", "down", "returning"}[p] }

// Site is the planner's state of a destination's endpoints in one zone.
type Site struct {
	Destination int64
	Place       string
	Phase       Phase
	Since       time.Duration // time in this phase
	Rest        time.Duration // Down: remaining ejection period, before which probes do not readmit it
	Good, Bad   int           // consecutive healthy and unhealthy windows
	Flaps       int           // times it went down soon after a recovery
	Usual       time.Duration // baseline: median latency of its calls while healthy
	Slow        float64       // share of its capacity left while it is slow; 1 is all
	Found       float64       // share of its capacity estimated from refusals; 1 is all
	Cut         []string      // origin zones whose route to here is cut
	Why         string
	Refuses     bool // refused a high share of calls in the last window
}

// Move describes a change of the plan to operators.
type Move struct {
	Destination int64
	From, Place string
	Kind        string // out, back, path cut, path back, slow, crossing, near again
	Why         string // with the evidence
}

// findQuota returns the quota of a route, if there is one.
func (p *Plan) findQuota(destination int64, from, to string) (Quota, bool) {
	if p == nil {
		return Quota{}, false
	}
	index, found := slices.BinarySearchFunc(p.Grants, Quota{Destination: destination, From: from, To: to}, compareQuotas)
	if !found {
		return Quota{}, false
	}
	return p.Grants[index], true
}

func compareQuotas(a, b Quota) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}

// QuotasFrom returns the quotas of a zone for a destination.
func (p *Plan) QuotasFrom(destination int64, from string) []Quota {
	start, _ := slices.BinarySearchFunc(p.Grants, Quota{Destination: destination, From: from}, compareQuotas)
	end := start
	for end < len(p.Grants) && p.Grants[end].Destination == destination && p.Grants[end].From == from {
		end++
	}
	return p.Grants[start:end]
}

package plan

import (
	"math"
	"time"
)

// Follower is one forwarder's side: the newest plan until it runs out, and the rule without one.
type Follower struct {
	Zone     string
	MinState uint64 // the council's version at which its life began
	plan     *Plan
	until    time.Duration
	// Stale has it take whatever plan is told, and Endless go by it for ever: safeguards that tests take out.
	stale, endless bool
}

// NewFollower is one at a place that has heard of no plan.
func NewFollower(place string) *Follower { return &Follower{Zone: place} }

// Apply takes a plan that was asked for at a moment. It holds from the asking, so that whoever gave it counts later than this does. An
// older one than it has changes nothing; that it has already is renewed.
func (f *Follower) Apply(asked time.Duration, p *Plan) {
	if p == nil || p.State < f.MinState || f.plan != nil && p.Version < f.plan.Version && !f.stale {
		return
	}
	if f.plan != nil && p.Version == f.plan.Version {
		f.Renew(asked)
		return
	}
	f.plan, f.until = p, asked+p.Hold
}

// Renew says that an asking sent at a moment has found the plan that it has still to be the one in force.
func (f *Follower) Renew(asked time.Duration) {
	if f.plan != nil {
		f.until = max(f.until, asked+f.plan.Hold)
	}
}

// ActiveVersion is the version of the plan that it goes by; 0 is the rule. A lower version than it once obeyed comes back never.
func (f *Follower) ActiveVersion(now time.Duration) uint64 {
	if f.plan == nil || now >= f.until && !f.endless {
		return 0
	}
	return f.plan.Version
}

// LatestVersion is the newest version that it has heard of.
func (f *Follower) LatestVersion() uint64 {
	if f.plan == nil {
		return 0
	}
	return f.plan.Version
}

// Target is where a forwarder may send, and how much.
type Target struct {
	Zone  string
	Rate  float64 // calls a second of this one forwarder
	Trial bool
}

// FallbackConfig is what the rule needs.
type FallbackConfig struct {
	MaxForwarders int     // forwarders that there may be, at the most
	Reserve       float64 // Config.Reserve
}

// Targets says where this forwarder may send for a destination with sites of such capacities. Where a plan holds, that says it, in equal
// parts for the forwarders of a place. Else it is near alone, and across within its own fixed part of what every place keeps in
// reserve: however the fleet is split, and whoever goes by which plan, the parts add up to no more than the reserve. A destination that
// has no site here is gone to at its first place, within its part of all but the reserve's plan.
func (f *Follower) Targets(now time.Duration, destination int64, capacity map[string]float64, order []string, fleet FallbackConfig) (out []Target) {
	if f.ActiveVersion(now) > 0 {
		grants := f.plan.QuotasFrom(destination, f.Zone)
		for _, g := range grants {
			rate := g.Each
			if g.To == f.Zone && !g.Trial && g.Share >= 1 && g.Bound == 0 {
				rate = math.Inf(1) // near is bounded by nothing but the partner itself
			}
			out = append(out, Target{g.To, rate, g.Trial})
		}
		if len(grants) > 0 {
			return out
		}
	}
	if _, here := capacity[f.Zone]; here {
		return append(out, Target{Zone: f.Zone, Rate: math.Inf(1)})
	}
	for _, to := range order {
		if c := capacity[to]; c > 0 {
			return append(out, Target{Zone: to, Rate: fleet.Reserve * c / float64(max(1, fleet.MaxForwarders))})
		}
	}
	return out
}

package places

import (
	"fmt"
	"math"
	"time"

	"mulleinbeam/internal/cluster/plan"
)

// Policies are the names of all policies, with the forwarder's own first.
var Policies = []string{"plan", "near", "alike", "alone", "truth"}

func newPolicy(name string, r *run) (policy, error) {
	switch name {
	case "plan":
		return &plannerPolicy{planner: plan.NewPlanner(plan.Defaults(), r.topology, nil)}, nil
	case "near":
		return fixedPolicy{localZone}, nil
	case "alike":
		return fixedPolicy{anyZone}, nil
	case "alone":
		return &isolatedPolicy{}, nil
	case "truth":
		return &oraclePolicy{}, nil
	}
	return nil, fmt.Errorf("places: unknown policy %q", name)
}

// plannerPolicy is the forwarder's own policy: reports are merged by zone, the planner makes a plan, and each forwarder
// follows the plans that it receives.
type plannerPolicy struct {
	planner *plan.Planner
	members []*plannedForwarder
}

// plannedForwarder is a forwarder that follows the common plan.
type plannedForwarder struct {
	r        *run
	f        *forwarder
	follower *plan.Follower
	pending  []pendingPlan // plans that have not arrived yet
}

// pendingPlan is a plan with the time at which it arrives at a forwarder.
type pendingPlan struct {
	at   time.Duration
	plan *plan.Plan
}

func (p *plannerPolicy) addForwarder(r *run, f *forwarder) targetSelector {
	m := &plannedForwarder{r: r, f: f, follower: plan.NewFollower(f.zone)}
	p.members = append(p.members, m)
	return m
}

// applyArrived applies the plans that have arrived.
func (m *plannedForwarder) applyArrived(now time.Duration) {
	for len(m.pending) > 0 && now >= m.pending[0].at {
		m.follower.Apply(now, m.pending[0].plan)
		m.pending = m.pending[1:]
	}
}

// activeVersion returns the version of the plan that the forwarder follows.
func (m *plannedForwarder) activeVersion(now time.Duration) uint64 {
	m.applyArrived(now)
	return m.follower.ActiveVersion(now)
}

func (m *plannedForwarder) targets(now time.Duration, d int64) []plan.Target {
	m.applyArrived(now)
	fallback := plan.FallbackConfig{MaxForwarders: m.r.Forwarders, Reserve: plan.Defaults().Reserve}
	out := m.follower.Targets(now, d, m.r.capacity[d], m.r.topology.SortByCost(m.f.zone, m.r.zones), fallback)
	for i, t := range out { // the local zone comes first
		if t.Zone == m.f.zone {
			out[0], out[i] = out[i], out[0]
		}
	}
	return out
}

func (p *plannerPolicy) endWindow(r *run, reports map[string][]plan.Report) {
	in := plan.Input{Elapsed: window, Zones: map[string]plan.Summary{}, Capacity: r.capacity, Members: map[string]int{}}
	for zone, list := range reports {
		in.Members[zone] = len(list)
		in.Zones[zone] = plan.Merge(zone, list)
	}
	next, changed := p.planner.Step(in)
	out := false
	if changed {
		r.result.Plans++
		for _, m := range next.Moves {
			if out = out || m.Kind == "out"; m.Kind == "out" || m.Kind == "back" {
				r.result.Moves++
			}
		}
	}
	last := r.now
	for _, m := range p.members { // each forwarder receives the plan after a random delay
		at := r.now + time.Duration(r.rng.Float64()*float64(maxPlanDelay))
		m.pending, last = append(m.pending, pendingPlan{at, next}), max(last, at)
	}
	if out && r.result.PlanRollout == 0 && len(r.day.Faults) > 0 {
		r.result.PlanRollout = last - r.day.Faults[0].At
	}
}

// fixedPolicy applies a fixed rule that does not depend on reports.
type fixedPolicy struct {
	rule func(r *run, f *forwarder, d int64) []plan.Target
}

// fixedSelector applies the rule of a fixedPolicy at one forwarder.
type fixedSelector struct {
	r    *run
	f    *forwarder
	rule func(r *run, f *forwarder, d int64) []plan.Target
}

func (p fixedPolicy) addForwarder(r *run, f *forwarder) targetSelector {
	return fixedSelector{r, f, p.rule}
}
func (p fixedPolicy) endWindow(*run, map[string][]plan.Report)         {}
func (c fixedSelector) targets(_ time.Duration, d int64) []plan.Target { return c.rule(c.r, c.f, d) }

// localZone calls only the forwarder's own zone.
func localZone(_ *run, f *forwarder, _ int64) []plan.Target {
	return []plan.Target{{Zone: f.zone, Rate: math.Inf(1)}}
}

// anyZone calls zones in random order, and the next one if the breaker for a zone is open.
func anyZone(r *run, _ *forwarder, _ int64) (out []plan.Target) {
	for _, i := range r.rng.Perm(len(r.zones)) {
		out = append(out, plan.Target{Zone: r.zones[i], Rate: math.Inf(1)})
	}
	return out
}

// isolatedPolicy runs a planner of its own in each forwarder. It uses the same rules, but only the forwarder's own
// observations and an even share of the capacity of every site.
type isolatedPolicy struct{}

// isolatedForwarder is a forwarder that plans by itself.
type isolatedForwarder struct {
	r        *run
	planner  *plan.Planner
	follower *plan.Follower
	capacity map[int64]map[string]float64
	f        *forwarder
}

func (p *isolatedPolicy) addForwarder(r *run, f *forwarder) targetSelector {
	h := &isolatedForwarder{r: r, f: f, planner: plan.NewPlanner(plan.Defaults(), r.topology, nil), follower: plan.NewFollower(f.zone), capacity: map[int64]map[string]float64{}}
	for d, by := range r.capacity {
		h.capacity[d] = map[string]float64{}
		for z, c := range by {
			h.capacity[d][z] = c / float64(r.Forwarders) * float64(len(r.zones))
		}
	}
	return h
}

func (h *isolatedForwarder) targets(now time.Duration, d int64) []plan.Target {
	return h.follower.Targets(now, d, h.capacity[d], []string{h.f.zone}, plan.FallbackConfig{MaxForwarders: 1})
}

func (p *isolatedPolicy) endWindow(r *run, reports map[string][]plan.Report) {
	for zone, list := range reports {
		for i, rep := range list {
			h := r.byZone[zone][i].selector.(*isolatedForwarder)
			rep.Obeys = h.follower.LatestVersion()
			in := plan.Input{Elapsed: window, Zones: map[string]plan.Summary{zone: plan.Merge(zone, []plan.Report{rep})}, Capacity: h.capacity, Members: map[string]int{zone: 1}}
			next, _ := h.planner.Step(in)
			h.follower.Apply(r.now, next)
		}
	}
}

// oraclePolicy knows the state, capacity and demand of all sites without delay and assigns the capacity at
// once. It is the reference for the other policies.
type oraclePolicy struct {
	at     time.Duration
	grants map[int64]map[[2]string]float64
}

const (
	oracleCapacityShare = 0.95 // share of the capacity that is assigned
	oracleRateSlack     = 1.25 // factor on each forwarder's rate, since demand is spread unevenly over forwarders
)

// oracleSelector applies the assignment of an oraclePolicy at one forwarder.
type oracleSelector struct {
	policy *oraclePolicy
	r      *run
	f      *forwarder
}

func (p *oraclePolicy) addForwarder(r *run, f *forwarder) targetSelector {
	return oracleSelector{p, r, f}
}
func (p *oraclePolicy) endWindow(*run, map[string][]plan.Report) {}

func (o oracleSelector) targets(now time.Duration, d int64) (out []plan.Target) {
	if o.policy.at != now || o.policy.grants == nil {
		o.policy.at, o.policy.grants = now, map[int64]map[[2]string]float64{}
	}
	if o.policy.grants[d] == nil {
		o.policy.grants[d] = o.r.assignCapacity(now, d)
	}
	for _, to := range o.r.topology.SortByCost(o.f.zone, o.r.zones) {
		if n := o.policy.grants[d][[2]string{o.f.zone, to}]; n > 0 {
			rate := oracleRateSlack * n / float64(len(o.r.byZone[o.f.zone]))
			if to == o.f.zone && n > o.r.demandOf(to) {
				rate = math.Inf(1) // the local site has spare capacity: the forwarder's own limit suffices
			}
			out = append(out, plan.Target{Zone: to, Rate: rate})
		}
	}
	return out
}

// assignCapacity assigns the capacity of a destination to the demand of zones, local sites first and then by ascending
// cost. Local traffic may use all remaining capacity of its site, even above the mean demand.
func (r *run) assignCapacity(now time.Duration, d int64) map[[2]string]float64 {
	free, left := map[string]float64{}, map[string]float64{}
	for _, z := range r.zones {
		s := r.sites[plan.Path{Destination: d, To: z}]
		if s.up(now) {
			free[z] = oracleCapacityShare * s.currentCapacity(now)
		}
		left[z] = r.demandOf(z)
	}
	grants := map[[2]string]float64{}
	for rank := range r.zones {
		for _, z := range r.zones {
			to := r.topology.SortByCost(z, r.zones)[rank]
			if n := math.Min(left[z], free[to]); n > 0 && !r.linkDown(z, to) {
				grants[[2]string{z, to}] += n
				left[z], free[to] = left[z]-n, free[to]-n
			}
		}
	}
	for _, z := range r.zones { // remaining capacity is left to bursts of local traffic
		if at := [2]string{z, z}; grants[at] > 0 {
			grants[at] += free[z]
		}
	}
	return grants
}

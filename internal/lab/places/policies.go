package places

import (
	"fmt"
	"math"
	"time"

	"mulleinbeam/internal/cluster/plan"
)

// Policies are their names, the program's own first.
var Policies = []string{"plan", "near", "alike", "alone", "truth"}

func newPolicy(name string, r *run) (policy, error) {
	switch name {
	case "plan":
		return &planned{planner: plan.NewPlanner(plan.Defaults(), r.places, nil)}, nil
	case "near":
		return fixed{near}, nil
	case "alike":
		return fixed{alike}, nil
	case "alone":
		return &alone{}, nil
	case "truth":
		return &truth{}, nil
	}
	return nil, fmt.Errorf("places: no policy %q", name)
}

// planned is the program's own: reports go up by zone, the planner steps, and each forwarder follows what it hears.
type planned struct {
	planner *plan.Planner
	members []*member
}

type member struct {
	r        *run
	f        *forwarder
	follower *plan.Follower
	coming   []told // plans on their way to it
}

type told struct {
	at time.Duration
	p  *plan.Plan
}

func (p *planned) join(r *run, f *forwarder) chooser {
	m := &member{r: r, f: f, follower: plan.NewFollower(f.place)}
	p.members = append(p.members, m)
	return m
}

func (m *member) hear(now time.Duration) {
	for len(m.coming) > 0 && now >= m.coming[0].at {
		m.follower.Apply(now, m.coming[0].p)
		m.coming = m.coming[1:]
	}
}

func (m *member) obeys(now time.Duration) uint64 { m.hear(now); return m.follower.ActiveVersion(now) }

func (m *member) targets(now time.Duration, d int64) []plan.Target {
	m.hear(now)
	fleet := plan.FallbackConfig{MaxForwarders: m.r.Forwarders, Reserve: plan.Defaults().Reserve}
	out := m.follower.Targets(now, d, m.r.capacity[d], m.r.places.SortByCost(m.f.place, m.r.zones), fleet)
	for i, t := range out { // near before far
		if t.Zone == m.f.place {
			out[0], out[i] = out[i], out[0]
		}
	}
	return out
}

func (p *planned) window(r *run, reports map[string][]plan.Report) {
	in := plan.Input{Elapsed: window, Zones: map[string]plan.Summary{}, Capacity: r.capacity, Members: map[string]int{}}
	for place, list := range reports {
		in.Members[place] = len(list)
		in.Zones[place] = plan.Merge(place, list)
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
	for _, m := range p.members { // asked for a little later each
		at := r.now + time.Duration(r.rng.Float64()*float64(hearing))
		m.coming, last = append(m.coming, told{at, next}), max(last, at)
	}
	if out && r.result.InForce == 0 && len(r.day.Faults) > 0 {
		r.result.InForce = last - r.day.Faults[0].At
	}
}

// fixed is a rule without evidence.
type fixed struct {
	rule func(r *run, f *forwarder, d int64) []plan.Target
}

type byRule struct {
	r    *run
	f    *forwarder
	rule func(r *run, f *forwarder, d int64) []plan.Target
}

func (p fixed) join(r *run, f *forwarder) chooser               { return byRule{r, f, p.rule} }
func (p fixed) window(*run, map[string][]plan.Report)           {}
func (c byRule) targets(_ time.Duration, d int64) []plan.Target { return c.rule(c.r, c.f, d) }

func near(_ *run, f *forwarder, _ int64) []plan.Target {
	return []plan.Target{{Zone: f.place, Rate: math.Inf(1)}}
}

// alike takes any place, and another where its own breaker is open.
func alike(r *run, _ *forwarder, _ int64) (out []plan.Target) {
	for _, i := range r.rng.Perm(len(r.zones)) {
		out = append(out, plan.Target{Zone: r.zones[i], Rate: math.Inf(1)})
	}
	return out
}

// alone has each forwarder plan for itself by the same rules, from what it sees itself, with its even part of every site.
type alone struct{}

type hermit struct {
	r        *run
	planner  *plan.Planner
	follower *plan.Follower
	capacity map[int64]map[string]float64
	f        *forwarder
}

func (p *alone) join(r *run, f *forwarder) chooser {
	h := &hermit{r: r, f: f, planner: plan.NewPlanner(plan.Defaults(), r.places, nil), follower: plan.NewFollower(f.place), capacity: map[int64]map[string]float64{}}
	for d, by := range r.capacity {
		h.capacity[d] = map[string]float64{}
		for z, c := range by {
			h.capacity[d][z] = c / float64(r.Forwarders) * float64(len(r.zones))
		}
	}
	return h
}

func (h *hermit) targets(now time.Duration, d int64) []plan.Target {
	return h.follower.Targets(now, d, h.capacity[d], []string{h.f.place}, plan.FallbackConfig{MaxForwarders: 1})
}

func (p *alone) window(r *run, reports map[string][]plan.Report) {
	for place, list := range reports {
		for i, rep := range list {
			h := r.byZone[place][i].choose.(*hermit)
			rep.Obeys = h.follower.LatestVersion()
			in := plan.Input{Elapsed: window, Zones: map[string]plan.Summary{place: plan.Merge(place, []plan.Report{rep})}, Capacity: h.capacity, Members: map[string]int{place: 1}}
			next, _ := h.planner.Step(in)
			h.follower.Apply(r.now, next)
		}
	}
}

// truth knows what is up, what it can take and what is asked for, at once, and shares it out at best.
type truth struct {
	at     time.Duration
	grants map[int64]map[[2]string]float64
}

const (
	truthRoom  = 0.95 // of what is there that it gives away,
	truthSlack = 1.25 // and by so much more, since one forwarder has more to send when another has less
)

type oracle struct {
	t *truth
	r *run
	f *forwarder
}

func (p *truth) join(r *run, f *forwarder) chooser     { return oracle{p, r, f} }
func (p *truth) window(*run, map[string][]plan.Report) {}

func (o oracle) targets(now time.Duration, d int64) (out []plan.Target) {
	if o.t.at != now || o.t.grants == nil {
		o.t.at, o.t.grants = now, map[int64]map[[2]string]float64{}
	}
	if o.t.grants[d] == nil {
		o.t.grants[d] = o.r.best(now, d)
	}
	for _, to := range o.r.places.SortByCost(o.f.place, o.r.zones) {
		if n := o.t.grants[d][[2]string{o.f.place, to}]; n > 0 {
			rate := truthSlack * n / float64(len(o.r.byZone[o.f.place]))
			if to == o.f.place && n > o.r.demandOf(to) {
				rate = math.Inf(1) // all of near, as its module paces
			}
			out = append(out, plan.Target{Zone: to, Rate: rate})
		}
	}
	return out
}

// best shares a destination's room out, near first and the cheapest next. What near can take it may take, whatever is asked for on
// average.
func (r *run) best(now time.Duration, d int64) map[[2]string]float64 {
	free, left := map[string]float64{}, map[string]float64{}
	for _, z := range r.zones {
		s := r.sites[plan.Path{Destination: d, To: z}]
		if s.up(now) {
			free[z] = truthRoom * s.present(now)
		}
		left[z] = r.demandOf(z)
	}
	grants := map[[2]string]float64{}
	for rank := range r.zones {
		for _, z := range r.zones {
			to := r.places.SortByCost(z, r.zones)[rank]
			if n := math.Min(left[z], free[to]); n > 0 && !r.cut(z, to) {
				grants[[2]string{z, to}] += n
				left[z], free[to] = left[z]-n, free[to]-n
			}
		}
	}
	for _, z := range r.zones { // bursts of near
		if at := [2]string{z, z}; grants[at] > 0 {
			grants[at] += free[z]
		}
	}
	return grants
}

package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Config is the planner's figures.
type Config struct {
	Hold       time.Duration // how long a plan holds; it is renewed before
	Headroom   float64       // share of a place's capacity that is given away at all
	Reserve    float64       // share of it that is kept for those who go by the rule without a plan
	Step       float64       // share of a place's spare by which what crosses to it grows in one window
	Trial      float64       // share of a place's capacity that trials take, one call a second at the least
	Rest       time.Duration // after it went down, until trials count; doubled with each flap
	RestMost   time.Duration
	FlapWithin time.Duration // down so soon after a return is a flap; as long without one forgets them
	ColdFrom   float64       // share of its capacity that a place has as it comes back,
	WarmWithin time.Duration // and until it has all
	Confirm    int           // windows in a row that a verdict needs
}

// Defaults are the figures; those of cold partners are the users'.
func Defaults() Config {
	return Config{
		Hold: 6 * time.Second, Headroom: 0.95, Reserve: 0.04, Step: 0.5, Trial: 0.01, Rest: 3 * time.Second, RestMost: time.Minute,
		FlapWithin: 30 * time.Second, ColdFrom: 0.3, WarmWithin: 14 * time.Second, Confirm: 2,
	}
}

const (
	surelyLost  = 30                    // calls lost in one window, of 90 in 100, that need no second window
	surelyShare = 0.9                   //
	slowFrom    = 2.5                   // times the usual median from which a place counts as slow
	slowBy      = 20 * time.Millisecond // and by how much at the least: less is what a busy machine does to any call
	slowLeast   = 0.1                   // of its capacity that a slow place keeps
	trialCalls  = 2                     // of one place's forwarders, that say something of a trial
	wellAgain   = 2                     // good windows in a row that end a rest, or a cut
	sameGrant   = 0.1                   // grants that differ by less, as a share, are the same
	usualDown   = 0.1                   // of the latest window in what is usual, where it is faster,
	usualUp     = 0.005                 // and where it is slower: what becomes slow within a minute is not usual
	foundStep   = 0.05                  // by which room that was found short is taken for more, in a window without refusals
	foundLeast  = 0.1                   // of its capacity that a place is taken to have
	fallShare   = 0.3                   // and in a demand that falls
	evacuation  = 0.25                  // of what is asked for there, that leaves a place in one window
	mostDemand  = 1e7                   // messages a second at one place that are believed
	sway        = 0.25                  // by which a crossing may grow while the step before is not seen yet
	runLeast    = 4                     // calls lost in a row, over windows, that say as much as a window,
	runMost     = 8                     // and more say no more
	limitHolds  = 30 * time.Second      // for which a limit is remembered that no answer tells of any more
)

// Input is what is known at the end of a window.
type Input struct {
	Elapsed  time.Duration                // since the Step before
	Zones    map[string]Summary           // by place; one that is missing was not heard
	Capacity map[int64]map[string]float64 // calls a second, by destination and place: limits found, or the list's word
	Members  map[string]int               // forwarders that live, by place,
	State    uint64                       // as of this version of the council's
	Evacuate map[string]bool
	Frozen   bool
}

type way struct {
	destination int64
	from, to    string
}

type spot struct {
	destination int64
	place       string
}

// force is a grant that some may still go by.
type force struct {
	version uint64
	rate    float64
	left    time.Duration // once a later one was proposed
	over    bool          // one was
}

// heard is who was heard of at a place, and for how long the same.
type heard struct {
	who   uint64
	since time.Duration
}

// count is how many members a place had, and how long ago that was so.
type count struct {
	n   int
	ago time.Duration
}

// limit is one that answers told of, and how long ago.
type limit struct {
	rate float64
	ago  time.Duration
}

// cutState counts the windows in which one way looked cut, or well.
type cutState struct {
	bad, good int
	cut       bool
}

// Planner makes plans, one window behind the other. It is not safe for several goroutines at once.
type Planner struct {
	cfg      Config
	places   Topology
	sites    map[spot]*Site
	ways     map[way]*cutState
	demand   map[spot]float64 // by origin
	origins  []string         // from which anything was asked for
	runs     map[way]float64  // calls in a row that were answered, below zero those that were lost
	slowRuns map[spot]slowRun
	force    map[way][]force
	obeys    map[string]uint64        // all at a place go by this version or a later one, whoever is not heard of, too
	seen     map[string]uint64        // and all that were heard of in the last window
	grew     map[string]uint64        // the plan by which a place's crossings grew last,
	waited   map[string]time.Duration // and for how long it has not been seen that all go by it
	who      map[string]heard
	most     map[string][]count              // of members, of late
	limits   map[spot]limit                  // that answers told of
	paths    map[[2]string]map[int64]float64 // what each destination may send over a bounded path: as may still be gone by, or is granted now
	last     *Plan
	aged     time.Duration // since the last proposal
	moves    []Move
	// forgets has it take everybody for going by the latest plan at once: a safeguard that tests take out.
	forgets bool
}

// NewPlanner goes on from the plan in force; nil is none. Whatever that grants may be gone by for as long as it holds.
func NewPlanner(cfg Config, places Topology, from *Plan) *Planner {
	p := &Planner{
		cfg: cfg, places: places, sites: map[spot]*Site{}, ways: map[way]*cutState{}, limits: map[spot]limit{}, runs: map[way]float64{}, slowRuns: map[spot]slowRun{}, demand: map[spot]float64{}, force: map[way][]force{},
		obeys: map[string]uint64{}, seen: map[string]uint64{}, grew: map[string]uint64{}, waited: map[string]time.Duration{}, who: map[string]heard{}, most: map[string][]count{}, last: from,
	}
	if from == nil {
		p.last = &Plan{}
		return p
	}
	for _, s := range from.Sites {
		for _, o := range s.Cut {
			p.ways[way{s.Destination, o, s.Place}] = &cutState{cut: true}
		}
		p.sites[spot{s.Destination, s.Place}] = &s
	}
	for _, g := range from.Grants {
		w := way{g.Destination, g.From, g.To}
		p.force[w] = append(p.force[w], force{version: from.Version, rate: g.Rate})
		if g.Share > 0 && g.Share <= 1 {
			p.demand[spot{g.Destination, g.From}] = math.Max(p.demand[spot{g.Destination, g.From}], g.Rate/g.Share)
		}
	}
	for _, g := range from.Floors { // plans before it, of which this one knew
		w := way{g.Destination, g.From, g.To}
		p.force[w] = append(p.force[w], force{rate: g.Rate, over: true, left: cfg.Hold})
	}
	return p
}

// Step makes the plan for the next window. Changed says whether it has to be proposed: it differs, or the one in force runs out.
// From here on it counts as one that some may go by, whether it is decided or not.
func (p *Planner) Step(in Input) (next *Plan, changed bool) {
	p.moves, p.aged = nil, p.aged+in.Elapsed
	in.Capacity = believed(in.Capacity)
	p.limit(in)
	p.age(in)
	next = &Plan{Version: p.last.Version + 1, Hold: p.cfg.Hold, State: in.State, Frozen: in.Frozen}
	for _, place := range slices.Sorted(maps.Keys(in.Zones)) {
		next.Sick = append(next.Sick, in.Zones[place].Sick...)
	}
	if in.Frozen {
		next.Grants = slices.Clone(p.last.Grants)
		next.Sites = p.last.Sites
	} else {
		p.unlist(in.Capacity)
		all := map[string]bool{}
		for at := range p.demand {
			all[at.place] = true
		}
		for place := range in.Zones {
			all[place] = true
		}
		p.origins = slices.Sorted(maps.Keys(all))
		p.paths = map[[2]string]map[int64]float64{}
		for w := range p.force {
			p.carries(w, p.possible(w))
		}
		for _, d := range slices.Sorted(maps.Keys(in.Capacity)) {
			p.judge(d, in)
			next.Grants = append(next.Grants, p.grant(d, in)...)
		}
		slices.SortFunc(next.Grants, compareGrants)
		next.Sites = p.listed()
	}
	next.Moves = p.moves
	for i, g := range next.Grants {
		next.Grants[i].Each = max(g.Rate, g.Bound) / float64(max(1, p.members(g.From)))
	}
	changed = p.aged >= p.cfg.Hold/3 || len(p.moves) > 0 || next.Frozen != p.last.Frozen || !slices.Equal(next.Sick, p.last.Sick) || !sameGrants(next.Grants, p.last.Grants)
	if !changed {
		return p.last, false
	}
	p.aged = 0
	for w := range p.force {
		g, _ := next.find(w.destination, w.from, w.to)
		if rate := p.possible(w); rate > g.Rate {
			next.Floors = append(next.Floors, Quota{Destination: w.destination, From: w.from, To: w.to, Rate: rate})
		}
	}
	slices.SortFunc(next.Floors, compareGrants)
	p.propose(next)
	return next, true
}

// members is the most that a place had for as long as a plan holds: one that is gone from the list may still act.
func (p *Planner) members(place string) (most int) {
	for _, c := range p.most[place] {
		most = max(most, c.n)
	}
	return most
}

// believed takes a capacity that can't be meant for none.
func believed(capacity map[int64]map[string]float64) map[int64]map[string]float64 {
	out := make(map[int64]map[string]float64, len(capacity))
	for d, by := range capacity {
		out[d] = maps.Clone(by)
		for place, c := range by {
			if !(c > 0 && c <= mostDemand) {
				out[d][place] = 0
			}
		}
	}
	return out
}

// limit takes the lowest limit that a zone was told of for a place's capacity, where that is below the list's: it may be one for all of a
// destination's places together, so it never makes one larger.
func (p *Planner) limit(in Input) {
	fresh := map[spot]float64{}
	for _, z := range in.Zones {
		for at, rate := range z.Limits {
			if s := (spot{at.Destination, at.To}); rate > 0 && rate <= mostDemand && (fresh[s] == 0 || rate < fresh[s]) {
				fresh[s] = rate
			}
		}
	}
	for at, l := range p.limits {
		if l.ago += in.Elapsed; l.ago > limitHolds {
			delete(p.limits, at)
			continue
		}
		p.limits[at] = l
	}
	for at, rate := range fresh {
		p.limits[at] = limit{rate: rate}
	}
	for at, l := range p.limits {
		if c, listed := in.Capacity[at.destination][at.place]; listed {
			in.Capacity[at.destination][at.place] = math.Min(c, l.rate)
		}
	}
}

// age lets time pass over what may still be gone by.
func (p *Planner) age(in Input) {
	for place, z := range in.Zones {
		p.seen[place] = z.Obeys
		if p.waited[place] += in.Elapsed; z.Obeys >= p.grew[place] {
			p.waited[place] = 0
		}
		h := p.who[place]
		if h.since += in.Elapsed; h.who != z.Who { // one that is heard no more goes by what it had until that runs out
			h = heard{who: z.Who}
		}
		if p.who[place] = h; h.since >= p.cfg.Hold {
			p.obeys[place] = max(p.obeys[place], z.Obeys)
		}
	}
	for place, n := range in.Members {
		list := p.most[place]
		for i := range list {
			list[i].ago += in.Elapsed
		}
		list = slices.DeleteFunc(list, func(c count) bool { return c.ago > p.cfg.Hold || c.n <= n })
		p.most[place] = append(list, count{n: n})
	}
	for w, list := range p.force {
		rest := list[:0]
		for _, f := range list {
			if f.over {
				f.left -= in.Elapsed
			}
			if !f.over || f.left > 0 && f.version >= p.obeys[w.from] {
				rest = append(rest, f)
			}
		}
		if p.force[w] = rest; len(rest) == 0 {
			delete(p.force, w)
		}
	}
}

// propose books a plan as one that may be gone by from now on.
func (p *Planner) propose(next *Plan) {
	for _, list := range p.force {
		for i := range list {
			if !list[i].over {
				list[i].over, list[i].left = true, p.cfg.Hold
			}
		}
	}
	for _, g := range next.Grants {
		w := way{g.Destination, g.From, g.To}
		p.force[w] = append(p.force[w], force{version: next.Version, rate: g.Rate})
	}
	p.last = next
}

// possible is the most that may be gone by on a way.
func (p *Planner) possible(w way) (rate float64) {
	if p.forgets {
		return 0
	}
	for _, f := range p.force[w] {
		rate = math.Max(rate, f.rate)
	}
	return rate
}

// carries books what a way may take of the path between its places, where that is bounded.
func (p *Planner) carries(w way, rate float64) {
	if at := [2]string{w.from, w.to}; p.places.Link(w.from, w.to).Capacity > 0 {
		if p.paths[at] == nil {
			p.paths[at] = map[int64]float64{}
		}
		p.paths[at][w.destination] = math.Max(p.paths[at][w.destination], rate)
	}
}

// bears is what the path between a way's places has left for it, beside all other destinations.
func (p *Planner) bears(w way) float64 {
	left := p.places.Link(w.from, w.to).Capacity
	if left <= 0 {
		return math.Inf(1)
	}
	for d, rate := range p.paths[[2]string{w.from, w.to}] {
		if d != w.destination {
			left -= rate
		}
	}
	return math.Max(0, left)
}

// granted is what the last plan grants a way, but for trials.
func (p *Planner) granted(d int64, from, to string) float64 {
	if g, had := p.last.find(d, from, to); had && !g.Trial {
		return g.Rate
	}
	return 0
}

func (p *Planner) site(d int64, place string) *Site {
	s := p.sites[spot{d, place}]
	if s == nil {
		s = &Site{Destination: d, Place: place, Slow: 1, Found: 1}
		p.sites[spot{d, place}] = s
	}
	return s
}

func (p *Planner) listed() (out []Site) {
	cuts := map[spot][]string{}
	for w, st := range p.ways {
		if st.cut {
			cuts[spot{w.destination, w.to}] = append(cuts[spot{w.destination, w.to}], w.from)
		}
	}
	for at, s := range p.sites {
		c := *s
		c.Cut = cuts[at]
		slices.Sort(c.Cut)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Site) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Place, b.Place))
	})
	return out
}

func (p *Planner) move(d int64, from, place, kind, format string, args ...any) {
	p.moves = append(p.moves, Move{d, from, place, kind, fmt.Sprintf(format, args...)})
}

// ---- what is wrong ----

// judge tells the causes apart for each place of a destination: it is down where nobody reaches it, its own forwarders least of all; the
// way is cut where some do and others do not.
func (p *Planner) judge(d int64, in Input) {
	for _, place := range slices.Sorted(maps.Keys(in.Capacity[d])) {
		s := p.site(d, place)
		s.Since += in.Elapsed
		var bad, good []string
		sum := Tally{}
		least := float64(callsLeast)
		if s.Phase == Down {
			least = trialCalls
		}
		for _, from := range slices.Sorted(maps.Keys(in.Zones)) {
			t := in.Zones[from].Paths[Path{d, place}]
			sum.Add(t)
			w := way{d, from, place}
			needs := least
			if st := p.ways[w]; st != nil && st.cut {
				needs = trialCalls
			}
			stands := slices.Contains(in.Zones[from].Lost, Path{d, place}) // breakers may keep the next call back for seconds
			if t = p.gather(w, t, needs, stands); t.Calls() < needs {
				continue
			}
			switch {
			case t.LossRate() >= lossBad:
				bad = append(bad, from)
			case t.LossRate() <= lossGood:
				good = append(good, from)
			}
		}
		p.reach(d, place, bad, good)
		down := len(bad) > 0 && len(good) == 0 && (slices.Contains(bad, place) || len(bad) > 1)
		p.phase(s, down, len(good) > 0, sum, in, strings.Join(bad, ","))
		p.slow(s, sum, len(bad) == 0)
		s.find(sum, in.Capacity[d][place], in.Elapsed)
		s.Refuses = sum.refusesMuch()
	}
}

// gather gives what is known of a way: this window's calls where they say enough, else the run of calls that were lost, or answered, one
// behind the other, over windows. Forwarders' own breakers let few calls through to a place that is down, so that one window tells
// little; what stands is what they saw before.
func (p *Planner) gather(w way, t Tally, needs float64, stands bool) Tally {
	run, answered := p.runs[w], t.OK+t.Failed
	switch {
	case stands && answered == 0:
		return Tally{Late: needs}
	case t.Calls() == 0 || !(t.Calls() < mostDemand):
		return Tally{} // silence is no news
	case answered == 0:
		run = math.Min(run, 0) - t.Lost()
	case t.Lost() == 0:
		run = math.Max(run, 0) + answered
	default:
		run = 0
	}
	p.runs[w] = math.Max(-runMost, math.Min(runMost, run))
	switch {
	case t.Calls() >= needs:
		return t
	case run <= -math.Min(needs, runLeast):
		return Tally{Late: needs}
	case run >= math.Min(needs, runLeast):
		return Tally{OK: needs}
	}
	return Tally{}
}

// unlist forgets what the list has no more.
func (p *Planner) unlist(capacity map[int64]map[string]float64) {
	gone := func(d int64, place string) bool { _, listed := capacity[d][place]; return !listed }
	maps.DeleteFunc(p.sites, func(at spot, _ *Site) bool { return gone(at.destination, at.place) })
	maps.DeleteFunc(p.ways, func(w way, _ *cutState) bool { return gone(w.destination, w.to) })
	maps.DeleteFunc(p.runs, func(w way, _ float64) bool { return gone(w.destination, w.to) })
	maps.DeleteFunc(p.slowRuns, func(at spot, _ slowRun) bool { return gone(at.destination, at.place) })
	maps.DeleteFunc(p.demand, func(at spot, _ float64) bool { return len(capacity[at.destination]) == 0 })
}

// reach counts, for one place, who reaches it and who does not.
func (p *Planner) reach(d int64, place string, bad, good []string) {
	for _, from := range bad {
		w := way{d, from, place}
		st := p.ways[w]
		if st == nil {
			st = &cutState{}
			p.ways[w] = st
		}
		st.good = 0
		if len(good) == 0 && (len(bad) > 1 || from == place) { // nobody reaches it: the place is the matter, not the way
			st.bad = 0
			continue
		}
		if st.bad++; !st.cut && st.bad >= p.cfg.Confirm {
			st.cut = true
			p.move(d, from, place, "path cut", "calls are lost; reached from %s", strings.Join(good, ","))
		}
	}
	for _, from := range good {
		st := p.ways[way{d, from, place}]
		if st == nil {
			continue
		}
		st.bad = 0
		if st.good++; st.good >= wellAgain {
			if st.cut {
				p.move(d, from, place, "path back", "%d windows without loss", st.good)
			}
			delete(p.ways, way{d, from, place})
		}
	}
}

// phase moves a site on. A place that went down rests, is tried, and comes back as one that is cold.
func (p *Planner) phase(s *Site, down, well bool, sum Tally, in Input, who string) {
	switch {
	case down:
		s.Good = 0
		s.Bad++
	case well:
		s.Bad = 0
		s.Good++
	}
	surely := down && sum.Lost() >= surelyLost && sum.LossRate() >= surelyShare
	switch {
	case s.Phase != Down && down && (s.Bad >= p.cfg.Confirm || surely):
		if s.Phase == Return || s.Flaps > 0 && s.Since < p.cfg.FlapWithin {
			s.Flaps++
		}
		s.Rest = min(p.cfg.RestMost, p.cfg.Rest<<min(s.Flaps, 6))
		s.Phase, s.Since, s.Good = Down, 0, 0
		s.Why = fmt.Sprintf("%.0f of %.0f calls lost, seen from %s", sum.Lost(), sum.Calls(), who)
		p.move(s.Destination, "", s.Place, "out", "%s; rests for %v", s.Why, s.Rest)
	case s.Phase == Down:
		if s.Rest -= in.Elapsed; s.Rest <= 0 && s.Good >= wellAgain {
			s.Phase, s.Since = Return, 0
			s.Why = fmt.Sprintf("trials answered in %d windows", s.Good)
			p.move(s.Destination, "", s.Place, "back", "%s; from %.0f %% to all in %v", s.Why, 100*p.cfg.ColdFrom, p.cfg.WarmWithin)
		}
	case s.Phase == Return && s.Since >= p.cfg.WarmWithin:
		s.Phase, s.Since, s.Why = Open, 0, ""
		s.Flaps = max(s.Flaps, 1) // until FlapWithin is over
	case s.Phase == Open && s.Since >= p.cfg.FlapWithin:
		s.Flaps = 0
	}
}

// slowRun counts windows in a row in which half of a site's calls took far longer than usual, and those calls.
type slowRun struct {
	windows int
	calls   float64
}

// confirmed says whether a run tells of the site rather than of a moment in which some process had no processor.
func (r slowRun) confirmed(windows int) bool {
	return r.calls >= surelyLost || r.windows >= windows && r.calls >= callsLeast
}

// slow lessens a place's capacity by how much longer its calls take than usual: as many are out there as before.
func (p *Planner) slow(s *Site, sum Tally, well bool) {
	now := sum.Median()
	if s.Slow == 0 {
		s.Slow = 1
	}
	at := spot{s.Destination, s.Place}
	isSlow := s.Usual > 0 && float64(now) > slowFrom*float64(s.Usual) && now > s.Usual+slowBy
	if now > 0 && !isSlow || s.Phase != Open {
		delete(p.slowRuns, at)
	}
	switch {
	case now == 0 || s.Phase != Open:
	case s.Usual == 0:
		s.Usual = now
	case isSlow:
		run := p.slowRuns[at]
		run.windows, run.calls = run.windows+1, run.calls+sum.timed()
		p.slowRuns[at] = run
		if s.Slow == 1 && !run.confirmed(p.cfg.Confirm) {
			return
		}
		before := s.Slow
		s.Slow = math.Max(slowLeast, math.Min(s.Slow, 1.5*float64(s.Usual)/float64(now)))
		if before == 1 {
			p.move(s.Destination, "", s.Place, "slow", "half of its calls take over %v, usual are %v", now, s.Usual)
		}
	case well:
		if s.Slow < 1 {
			if s.Slow = math.Min(1, s.Slow+0.15); s.Slow == 1 {
				p.move(s.Destination, "", s.Place, "near again", "half of its calls take %v", now)
			}
		}
		share := usualUp
		if now < s.Usual {
			share = usualDown
		}
		s.Usual += time.Duration(share * float64(now-s.Usual))
	}
}

// find takes what a place answered while it refused much for all that it has.
func (s *Site) find(sum Tally, capacity float64, span time.Duration) {
	if s.Found == 0 {
		s.Found = 1
	}
	answered := (sum.OK + sum.Failed) / math.Max(0.001, span.Seconds())
	switch much := sum.refusesMuch(); {
	case s.Phase == Down:
		s.Found = 1
	case much && capacity > 0:
		s.Found = math.Max(foundLeast, math.Min(s.Found, answered/capacity))
	case sum.Refused == 0 || sum.Refused < refusedMuch/2*sum.Calls():
		s.Found = math.Min(1, s.Found+foundStep)
	}
}

// usable is what a place can take now.
func (p *Planner) usable(s *Site, capacity float64) float64 {
	all := capacity * p.cfg.Headroom
	switch s.Phase {
	case Down:
		return 0
	case Return:
		warm := math.Min(1, s.Since.Seconds()/math.Max(0.1, p.cfg.WarmWithin.Seconds()))
		return all * math.Min(s.Found, p.cfg.ColdFrom+(1-p.cfg.ColdFrom)*warm)
	}
	return all * math.Min(s.Slow, s.Found)
}

// ---- who goes where ----

// demandOf follows what is handed in: up at once, down slowly.
func (p *Planner) demandOf(d int64, in Input) map[string]float64 {
	out := map[string]float64{}
	for place, z := range in.Zones {
		at, now := spot{d, place}, z.Demand[d]
		if !(now >= 0 && now <= mostDemand) { // no number that can be meant
			now = p.demand[at]
		}
		if was := p.demand[at]; now < was {
			now = was + fallShare*(now-was)
		}
		if p.demand[at] = now; now < 0.01 {
			delete(p.demand, at)
		}
	}
	for _, place := range p.origins {
		if n := p.demand[spot{d, place}]; n > 0 {
			out[place] = n
		}
	}
	return out
}

// grant gives what each place's forwarders may send where.
func (p *Planner) grant(d int64, in Input) (out []Quota) {
	capacity := in.Capacity[d]
	demand := p.demandOf(d, in)
	origins, targets := slices.Sorted(maps.Keys(demand)), slices.Sorted(maps.Keys(capacity))
	usable, near, left := map[string]float64{}, map[string]float64{}, map[string]float64{}
	cut := func(from, to string) bool { st := p.ways[way{d, from, to}]; return st != nil && st.cut }
	for _, to := range targets {
		usable[to] = p.usable(p.site(d, to), capacity[to])
	}
	for _, from := range origins { // near first
		left[from] = demand[from]
		if _, here := capacity[from]; here && !cut(from, from) {
			near[from] = math.Min(demand[from], usable[from])
		}
	}
	room := map[string]float64{} // for crossings, beside what may be gone by anyhow
	floor := map[way]float64{}
	for _, to := range targets {
		room[to] = math.Max(0, usable[to]-p.cfg.Reserve*capacity[to]-near[to])
		for _, from := range origins {
			if w := (way{d, from, to}); from != to {
				floor[w] = p.possible(w)
			}
		}
	}
	p.evacuate(d, in, near, room, demand)
	for _, from := range origins {
		left[from] -= near[from]
	}
	wants := map[string]bool{} // more than near can take: ways that are cut would be of use, and are tried
	for from, n := range left {
		wants[from] = n > 0
	}
	crossing, spare := p.cross(d, in, origins, targets, left, room, floor, cut)
	crossed := map[string]float64{}
	for w, rate := range crossing {
		crossed[w.to] += rate
	}
	add := func(from, to string, rate float64, trial bool) {
		if rate <= 0 {
			return
		}
		g := Quota{Destination: d, From: from, To: to, Rate: rate, Share: math.Min(1, rate/math.Max(1e-9, demand[from])), Trial: trial}
		old, had := p.last.find(d, from, to)
		if more := old.Rate - rate; had && !trial && !old.Trial && more > 0 && more <= sameGrant*old.Rate && more <= spare[to] {
			spare[to] -= more
			g.Rate, g.Share = old.Rate, math.Min(1, old.Rate/math.Max(1e-9, demand[from])) // a little less wanted is no change, where there is room
		}
		if from == to && !trial && p.site(d, to).Phase == Return { // what was held back meanwhile must not come all at once
			g.Bound = usable[to] - crossed[to]
		}
		out = append(out, g)
	}
	for _, from := range origins {
		for _, to := range targets {
			rate := crossing[way{d, from, to}]
			if from == to {
				rate = near[from]
			}
			other := from != to && p.site(d, to).Phase == Down && p.tester(d, to, origins, in) == from
			tried := other || from == to && (p.site(d, to).Phase == Down || cut(from, to)) || from != to && cut(from, to) && wants[from]
			if tried && !in.Evacuate[to] {
				add(from, to, math.Max(1, p.cfg.Trial*capacity[to]), true)
				continue
			}
			add(from, to, rate, false)
		}
	}
	return out
}

// tester is another place whose forwarders try a place that is down: if they reach it, the way from its own is cut, and not the place
// down.
func (p *Planner) tester(d int64, to string, origins []string, in Input) string {
	for _, from := range p.places.SortByCost(to, origins) {
		if _, heard := in.Zones[from]; heard && from != to {
			return from
		}
	}
	return ""
}

// evacuate takes near traffic away, by a quarter a window, as far as others have room for it.
func (p *Planner) evacuate(d int64, in Input, near, room, demand map[string]float64) {
	for _, place := range slices.Sorted(maps.Keys(in.Evacuate)) {
		if !in.Evacuate[place] {
			continue
		}
		delete(room, place)
		if near[place] == 0 {
			continue
		}
		spare := 0.0
		for _, n := range room {
			spare += n
		}
		was := math.Min(demand[place], p.granted(d, place, place)) // once it is empty it stays so
		near[place] = math.Min(near[place], math.Max(0, was-math.Min(evacuation*demand[place], spare)))
		if near[place] < 0.01*demand[place] {
			near[place] = 0
		}
	}
}

// cross gives what is left over to others' room, the cheapest first and in equal parts where several want the same. Growth is in
// steps, the next once all go by the one before and the place has not refused it. Spare is the room that nobody has.
func (p *Planner) cross(d int64, in Input, origins, targets []string, left, room map[string]float64, floor map[way]float64, cut func(from, to string) bool) (out map[way]float64, spare map[string]float64) {
	out, spare = map[way]float64{}, maps.Clone(room)
	start := spare
	for _, to := range targets { // what may be gone by anyhow takes its room; above it, shares of what is left
		for _, from := range origins {
			room[to] -= floor[way{d, from, to}]
		}
	}
	order := map[string][]string{}
	for _, from := range origins {
		order[from] = slices.DeleteFunc(p.places.SortByCost(from, targets), func(to string) bool { return to == from || in.Evacuate[to] })
	}
	for rank := range targets {
		asks := map[string][]way{}
		want := map[way]float64{}
		for _, from := range origins {
			if rank >= len(order[from]) || left[from] <= 0 {
				continue
			}
			to := order[from][rank]
			w := way{d, from, to}
			if cut(from, to) || p.site(d, to).Phase == Down {
				continue
			}
			was := p.granted(d, from, to)
			grown := was + p.cfg.Step*start[to]
			switch {
			case p.site(d, to).Refuses:
				grown = was
			case was > 0 && p.seen[from] < p.grew[from] && p.waited[from] < p.cfg.Hold:
				grown = (1 + sway) * was
				if left[from]-grown <= sameGrant*left[from] { // demand is never quite the same: no further place is turned to for that
					left[from] = math.Min(left[from], grown)
				}
			}
			want[w] = math.Min(left[from], math.Min(p.bears(w), grown))
			asks[to] = append(asks[to], w)
		}
		for _, to := range slices.Sorted(maps.Keys(asks)) {
			free, above := math.Max(0, room[to]), 0.0
			total := math.Max(0, start[to]) // what all may have together, whatever was granted before
			for _, w := range asks[to] {
				above += math.Max(0, want[w]-floor[w])
			}
			scale := 1.0
			if above > free {
				scale = free / above
			}
			sum := 0.0
			for _, w := range asks[to] {
				out[w] = math.Min(want[w], floor[w]) + scale*math.Max(0, want[w]-floor[w])
				sum += out[w]
			}
			for _, w := range asks[to] {
				if sum > total { // it can take less than before
					out[w] *= total / sum
				}
				room[to] -= math.Max(0, out[w]-floor[w])
				start[to] -= out[w]
				left[w.from] -= out[w]
				p.carries(w, out[w])
				g, had := p.last.find(d, w.from, w.to)
				if out[w] > g.Rate {
					p.grew[w.from] = p.last.Version + 1
				}
				if !had && out[w] > 0 {
					p.move(d, w.from, w.to, "crossing", "%.1f a second that near cannot take", out[w])
				}
			}
		}
	}
	return out, spare
}

func sameGrants(a, b []Quota) bool {
	return slices.EqualFunc(a, b, func(x, y Quota) bool {
		return compareGrants(x, y) == 0 && x.Trial == y.Trial && math.Abs(x.Rate-y.Rate) <= sameGrant*math.Max(x.Rate, y.Rate)
	})
}

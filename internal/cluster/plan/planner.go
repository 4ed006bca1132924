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

// Config holds the parameters of the planner.
type Config struct {
	Hold       time.Duration // validity of a plan; plans are renewed before it ends
	Headroom   float64       // share of a site's capacity that quotas may use
	Reserve    float64       // share of it kept for forwarders without a valid plan
	Step       float64       // share of a site's spare capacity by which cross-zone traffic to it may grow per window
	Trial      float64       // share of a site's capacity for probe calls, at least one call per second
	Rest       time.Duration // ejection period after a site went down; doubled with each flap
	RestMost   time.Duration // longest ejection period
	FlapWithin time.Duration // an outage so soon after a recovery is a flap; as long without one resets the count
	ColdFrom   float64       // share of its capacity that a site has at the beginning of slow start
	WarmWithin time.Duration // duration of slow start, after which it has all
	Confirm    int           // consecutive windows that confirm a change of health
}

// Defaults returns the default parameters; those of slow start come from the requirements.
func Defaults() Config {
	return Config{
		Hold: 6 * time.Second, Headroom: 0.95, Reserve: 0.04, Step: 0.5, Trial: 0.01, Rest: 3 * time.Second, RestMost: time.Minute,
		FlapWithin: 30 * time.Second, ColdFrom: 0.3, WarmWithin: 14 * time.Second, Confirm: 2,
	}
}

const (
	certainLossCalls       = 30                    // lost calls in one window that need no second window to confirm
	certainLossShare       = 0.9                   // share of the window's calls that must be lost for that
	slowLatencyFactor      = 2.5                   // multiple of the baseline median latency above which a site is slow
	minSlowExcess          = 20 * time.Millisecond // and the least excess over it: a busy machine adds less to any call
	minSlowCapacityShare   = 0.1                   // least share of its capacity that a slow site keeps
	minProbeCalls          = 2                     // calls of one zone's forwarders that make a probe conclusive
	recoveryWindows        = 2                     // consecutive healthy windows that end an ejection, or a cut
	quotaToleranceShare    = 0.1                   // quotas that differ by a smaller share are equal
	baselineFallWeight     = 0.1                   // weight of the latest window in the baseline where latency is lower
	baselineRiseWeight     = 0.005                 // and where it is higher: a slowdown of a minute is not learned
	estimateGrowthShare    = 0.05                  // growth of a capacity estimate in a window without refusals
	minEstimateShare       = 0.1                   // least share of its capacity that a site is estimated to have
	demandFallWeight       = 0.3                   // weight of the latest window where demand falls
	evacuationShare        = 0.25                  // share of its demand that leaves an evacuated zone in one window
	maxPlausibleRate       = 1e7                   // messages per second at one zone that are plausible
	unconfirmedGrowthShare = 0.25                  // growth of cross-zone rates before all apply the previous step
	minStreakCalls         = 4                     // consecutive lost calls that count as much as a window
	maxStreakCalls         = 8                     // and the length from which a streak is not extended
	rateLimitTTL           = 30 * time.Second      // how long a rate limit is kept that no answer reports any more
)

// Input is what the planner knows at the end of a window.
type Input struct {
	Elapsed  time.Duration                // since the previous Step
	Zones    map[string]Summary           // by zone; a zone that is missing did not report
	Capacity map[int64]map[string]float64 // calls per second, by destination and zone
	Members  map[string]int               // live forwarders, by zone
	State    uint64                       // version of the member list on which Members is based
	Evacuate map[string]bool
	Frozen   bool
}

type routeKey struct {
	destination int64
	from, to    string
}

type siteKey struct {
	destination int64
	zone        string
}

// activeQuota is a quota that some forwarders may still apply.
type activeQuota struct {
	version    uint64
	rate       float64
	remaining  time.Duration // time until it expires everywhere, once it is superseded
	superseded bool          // whether a later plan was proposed
}

// observerSet identifies the observers that reported in a zone, and how long they have been the same.
type observerSet struct {
	hash      uint64
	stableFor time.Duration
}

// memberCount is the number of members that a zone had, and how long ago.
type memberCount struct {
	number int
	age    time.Duration
}

// rateLimit is a rate limit reported in answers, and how long ago.
type rateLimit struct {
	rate float64
	age  time.Duration
}

// routeState counts the windows in which a route looked cut, or healthy.
type routeState struct {
	bad, good int
	cut       bool
}

// Planner makes the plans, window after window. It is not safe for concurrent use.
type Planner struct {
	cfg              Config
	topology         Topology
	sites            map[siteKey]*Site
	routes           map[routeKey]*routeState
	demand           map[siteKey]float64  // by destination and origin zone
	origins          []string             // zones with demand, and those that reported
	streaks          map[routeKey]float64 // consecutive calls: answered above zero, lost below
	slowStreaks      map[siteKey]slowStreak
	activeQuotas     map[routeKey][]activeQuota
	planVersions     map[string]uint64        // every forwarder of a zone, reporting or not, uses this version or later
	reportedVersions map[string]uint64        // every forwarder that reported in the last window does
	growthVersions   map[string]uint64        // version with which cross-zone traffic from a zone last grew
	growthWaits      map[string]time.Duration // time since which not all its forwarders reported to use it
	observers        map[string]observerSet
	memberCounts     map[string][]memberCount        // recent numbers of members, by zone
	rateLimits       map[siteKey]rateLimit           // reported in answers
	linkRates        map[[2]string]map[int64]float64 // by limited link and destination, old plans included
	last             *Plan
	sinceProposal    time.Duration // time since the last proposal
	moves            []Move
	// ignoreActive is set by tests to disable a safeguard: it assumes that every forwarder uses the latest plan at
	// once.
	ignoreActive bool
}

// NewPlanner returns a planner that continues from the plan in force; nil is none. The quotas of that plan may be in
// use for as long as it holds.
func NewPlanner(cfg Config, topology Topology, from *Plan) *Planner {
	p := &Planner{
		cfg: cfg, topology: topology, sites: map[siteKey]*Site{}, routes: map[routeKey]*routeState{}, rateLimits: map[siteKey]rateLimit{}, streaks: map[routeKey]float64{}, slowStreaks: map[siteKey]slowStreak{}, demand: map[siteKey]float64{}, activeQuotas: map[routeKey][]activeQuota{},
		planVersions: map[string]uint64{}, reportedVersions: map[string]uint64{}, growthVersions: map[string]uint64{}, growthWaits: map[string]time.Duration{}, observers: map[string]observerSet{}, memberCounts: map[string][]memberCount{}, last: from,
	}
	if from == nil {
		p.last = &Plan{}
		return p
	}
	for _, site := range from.Sites {
		for _, origin := range site.Cut {
			p.routes[routeKey{site.Destination, origin, site.Place}] = &routeState{cut: true}
		}
		p.sites[siteKey{site.Destination, site.Place}] = &site
	}
	for _, quota := range from.Grants {
		route := routeKey{quota.Destination, quota.From, quota.To}
		p.activeQuotas[route] = append(p.activeQuotas[route], activeQuota{version: from.Version, rate: quota.Rate})
		if quota.Share > 0 && quota.Share <= 1 {
			p.demand[siteKey{quota.Destination, quota.From}] = math.Max(p.demand[siteKey{quota.Destination, quota.From}], quota.Rate/quota.Share)
		}
	}
	for _, quota := range from.Floors { // quotas of earlier plans that this plan still reckoned with
		route := routeKey{quota.Destination, quota.From, quota.To}
		p.activeQuotas[route] = append(p.activeQuotas[route], activeQuota{rate: quota.Rate, superseded: true, remaining: cfg.Hold})
	}
	return p
}

// Step makes the plan for the next window. Changed reports whether the plan has to be proposed: it differs from the one
// in force, or that one is due for renewal. From then on its quotas count as possibly in use, whether it is committed
// or not.
func (p *Planner) Step(in Input) (next *Plan, changed bool) {
	p.moves, p.sinceProposal = nil, p.sinceProposal+in.Elapsed
	in.Capacity = plausibleCapacity(in.Capacity)
	p.applyRateLimits(in)
	p.advance(in)
	next = &Plan{Version: p.last.Version + 1, Hold: p.cfg.Hold, State: in.State, Frozen: in.Frozen}
	for _, zone := range slices.Sorted(maps.Keys(in.Zones)) {
		next.Sick = append(next.Sick, in.Zones[zone].Sick...)
	}
	if in.Frozen {
		next.Grants = slices.Clone(p.last.Grants)
		next.Sites = p.last.Sites
	} else {
		p.dropUnlisted(in.Capacity)
		zones := map[string]bool{}
		for key := range p.demand {
			zones[key.zone] = true
		}
		for zone := range in.Zones {
			zones[zone] = true
		}
		p.origins = slices.Sorted(maps.Keys(zones))
		p.linkRates = map[[2]string]map[int64]float64{}
		for route := range p.activeQuotas {
			p.reserveLink(route, p.maxActiveRate(route))
		}
		for _, destination := range slices.Sorted(maps.Keys(in.Capacity)) {
			p.evaluateHealth(destination, in)
			next.Grants = append(next.Grants, p.assignQuotas(destination, in)...)
		}
		slices.SortFunc(next.Grants, compareQuotas)
		next.Sites = p.siteList()
	}
	next.Moves = p.moves
	for index, quota := range next.Grants {
		next.Grants[index].Each = max(quota.Rate, quota.Bound) / float64(max(1, p.members(quota.From)))
	}
	changed = p.sinceProposal >= p.cfg.Hold/3 || len(p.moves) > 0 || next.Frozen != p.last.Frozen || !slices.Equal(next.Sick, p.last.Sick) || !equalQuotas(next.Grants, p.last.Grants)
	if !changed {
		return p.last, false
	}
	p.sinceProposal = 0
	for route := range p.activeQuotas {
		quota, _ := next.findQuota(route.destination, route.from, route.to)
		if rate := p.maxActiveRate(route); rate > quota.Rate {
			next.Floors = append(next.Floors, Quota{Destination: route.destination, From: route.from, To: route.to, Rate: rate})
		}
	}
	slices.SortFunc(next.Floors, compareQuotas)
	p.recordProposal(next)
	return next, true
}

// members returns the largest number of members that a zone had during the validity of a plan: a forwarder removed from
// the list may still be running.
func (p *Planner) members(zone string) (most int) {
	for _, count := range p.memberCounts[zone] {
		most = max(most, count.number)
	}
	return most
}

// plausibleCapacity returns the capacities with implausible ones set to 0.
func plausibleCapacity(capacity map[int64]map[string]float64) map[int64]map[string]float64 {
	plausible := make(map[int64]map[string]float64, len(capacity))
	for destination, byZone := range capacity {
		plausible[destination] = maps.Clone(byZone)
		for zone, siteCapacity := range byZone {
			if !(siteCapacity > 0 && siteCapacity <= maxPlausibleRate) {
				plausible[destination][zone] = 0
			}
		}
	}
	return plausible
}

// applyRateLimits lowers the capacity of a site to the lowest rate limit that any zone reported for it. The limit may
// cover all sites of the destination together, so it never raises a capacity.
func (p *Planner) applyRateLimits(in Input) {
	reported := map[siteKey]float64{}
	for _, summary := range in.Zones {
		for path, rate := range summary.Limits {
			if key := (siteKey{path.Destination, path.To}); rate > 0 && rate <= maxPlausibleRate && (reported[key] == 0 || rate < reported[key]) {
				reported[key] = rate
			}
		}
	}
	for key, limit := range p.rateLimits {
		if limit.age += in.Elapsed; limit.age > rateLimitTTL {
			delete(p.rateLimits, key)
			continue
		}
		p.rateLimits[key] = limit
	}
	for key, rate := range reported {
		p.rateLimits[key] = rateLimit{rate: rate}
	}
	for key, limit := range p.rateLimits {
		if siteCapacity, listed := in.Capacity[key.destination][key.zone]; listed {
			in.Capacity[key.destination][key.zone] = math.Min(siteCapacity, limit.rate)
		}
	}
}

// advance advances the time for quotas that may still be in use, and drops the expired ones.
func (p *Planner) advance(in Input) {
	for zone, summary := range in.Zones {
		p.reportedVersions[zone] = summary.Obeys
		if p.growthWaits[zone] += in.Elapsed; summary.Obeys >= p.growthVersions[zone] {
			p.growthWaits[zone] = 0
		}
		observers := p.observers[zone]
		// A forwarder that no longer reports applies its last plan until that expires.
		if observers.stableFor += in.Elapsed; observers.hash != summary.Who {
			observers = observerSet{hash: summary.Who}
		}
		if p.observers[zone] = observers; observers.stableFor >= p.cfg.Hold {
			p.planVersions[zone] = max(p.planVersions[zone], summary.Obeys)
		}
	}
	for zone, number := range in.Members {
		list := p.memberCounts[zone]
		for i := range list {
			list[i].age += in.Elapsed
		}
		list = slices.DeleteFunc(list, func(count memberCount) bool { return count.age > p.cfg.Hold || count.number <= number })
		p.memberCounts[zone] = append(list, memberCount{number: number})
	}
	for route, list := range p.activeQuotas {
		kept := list[:0]
		for _, quota := range list {
			if quota.superseded {
				quota.remaining -= in.Elapsed
			}
			if !quota.superseded || quota.remaining > 0 && quota.version >= p.planVersions[route.from] {
				kept = append(kept, quota)
			}
		}
		if p.activeQuotas[route] = kept; len(kept) == 0 {
			delete(p.activeQuotas, route)
		}
	}
}

// recordProposal records that the quotas of a plan may be in use from now on.
func (p *Planner) recordProposal(next *Plan) {
	for _, list := range p.activeQuotas {
		for i := range list {
			if !list[i].superseded {
				list[i].superseded, list[i].remaining = true, p.cfg.Hold
			}
		}
	}
	for _, quota := range next.Grants {
		route := routeKey{quota.Destination, quota.From, quota.To}
		p.activeQuotas[route] = append(p.activeQuotas[route], activeQuota{version: next.Version, rate: quota.Rate})
	}
	p.last = next
}

// maxActiveRate returns the highest rate that forwarders may be using on a route.
func (p *Planner) maxActiveRate(route routeKey) (rate float64) {
	if p.ignoreActive {
		return 0
	}
	for _, quota := range p.activeQuotas[route] {
		rate = math.Max(rate, quota.rate)
	}
	return rate
}

// reserveLink records the rate that a route may use of the link between its zones, if that has a limit.
func (p *Planner) reserveLink(route routeKey, rate float64) {
	if link := [2]string{route.from, route.to}; p.topology.Link(route.from, route.to).Capacity > 0 {
		if p.linkRates[link] == nil {
			p.linkRates[link] = map[int64]float64{}
		}
		p.linkRates[link][route.destination] = math.Max(p.linkRates[link][route.destination], rate)
	}
}

// linkHeadroom returns the capacity of the route's link that the other destinations leave for it.
func (p *Planner) linkHeadroom(route routeKey) float64 {
	left := p.topology.Link(route.from, route.to).Capacity
	if left <= 0 {
		return math.Inf(1)
	}
	for destination, rate := range p.linkRates[[2]string{route.from, route.to}] {
		if destination != route.destination {
			left -= rate
		}
	}
	return math.Max(0, left)
}

// lastRate returns the route's rate in the last plan, 0 for a probe.
func (p *Planner) lastRate(destination int64, from, to string) float64 {
	if quota, found := p.last.findQuota(destination, from, to); found && !quota.Trial {
		return quota.Rate
	}
	return 0
}

// site returns the state of a site, and creates it at its first use.
func (p *Planner) site(destination int64, zone string) *Site {
	site := p.sites[siteKey{destination, zone}]
	if site == nil {
		site = &Site{Destination: destination, Place: zone, Slow: 1, Found: 1}
		p.sites[siteKey{destination, zone}] = site
	}
	return site
}

// siteList returns a copy of all sites with their cut routes, sorted.
func (p *Planner) siteList() (list []Site) {
	cuts := map[siteKey][]string{}
	for route, state := range p.routes {
		if state.cut {
			cuts[siteKey{route.destination, route.to}] = append(cuts[siteKey{route.destination, route.to}], route.from)
		}
	}
	for key, site := range p.sites {
		listed := *site
		listed.Cut = cuts[key]
		slices.Sort(listed.Cut)
		list = append(list, listed)
	}
	slices.SortFunc(list, func(a, b Site) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Place, b.Place))
	})
	return list
}

func (p *Planner) recordMove(destination int64, from, zone, kind, format string, arguments ...any) {
	p.moves = append(p.moves, Move{destination, from, zone, kind, fmt.Sprintf(format, arguments...)})
}

// ---- health ----

// evaluateHealth finds the cause of lost calls for each site of a destination: the site is down if no zone reaches it
// and its own zone, or several zones, lost calls; a route is cut if some zones reach the site and others do not.
func (p *Planner) evaluateHealth(destination int64, in Input) {
	for _, zone := range slices.Sorted(maps.Keys(in.Capacity[destination])) {
		site := p.site(destination, zone)
		site.Since += in.Elapsed
		var bad, good []string
		total := Tally{}
		minCalls := float64(minObserverCalls)
		if site.Phase == Down {
			minCalls = minProbeCalls
		}
		for _, from := range slices.Sorted(maps.Keys(in.Zones)) {
			tally := in.Zones[from].Paths[Path{destination, zone}]
			total.Add(tally)
			route := routeKey{destination, from, zone}
			needed := minCalls
			if state := p.routes[route]; state != nil && state.cut {
				needed = minProbeCalls
			}
			// Circuit breakers may hold back the next call for seconds.
			lostLately := slices.Contains(in.Zones[from].Lost, Path{destination, zone})
			if tally = p.routeTally(route, tally, needed, lostLately); tally.Calls() < needed {
				continue
			}
			switch {
			case tally.LossRate() >= unhealthyLossShare:
				bad = append(bad, from)
			case tally.LossRate() <= healthyLossShare:
				good = append(good, from)
			}
		}
		p.updateRoutes(destination, zone, bad, good)
		down := len(bad) > 0 && len(good) == 0 && (slices.Contains(bad, zone) || len(bad) > 1)
		p.updatePhase(site, down, len(good) > 0, total, in, strings.Join(bad, ","))
		p.updateSlowness(site, total, len(bad) == 0)
		site.estimateCapacity(total, in.Capacity[destination][zone], in.Elapsed)
		site.Refuses = total.refusesHeavily()
	}
}

// routeTally returns the tally of a route: this window's calls if they are enough to judge it, else the streak of lost
// or answered calls over windows. Circuit breakers let few calls through to a zone that is down, so that one window is
// rarely conclusive; earlier results stay valid.
func (p *Planner) routeTally(route routeKey, tally Tally, needed float64, lostLately bool) Tally {
	streak, answered := p.streaks[route], tally.OK+tally.Failed
	switch {
	case lostLately && answered == 0:
		return Tally{Late: needed}
	case tally.Calls() == 0 || !(tally.Calls() < maxPlausibleRate):
		return Tally{} // no calls, no change
	case answered == 0:
		streak = math.Min(streak, 0) - tally.Lost()
	case tally.Lost() == 0:
		streak = math.Max(streak, 0) + answered
	default:
		streak = 0
	}
	p.streaks[route] = math.Max(-maxStreakCalls, math.Min(maxStreakCalls, streak))
	switch {
	case tally.Calls() >= needed:
		return tally
	case streak <= -math.Min(needed, minStreakCalls):
		return Tally{Late: needed}
	case streak >= math.Min(needed, minStreakCalls):
		return Tally{OK: needed}
	}
	return Tally{}
}

// dropUnlisted drops the state of sites that are no longer listed.
func (p *Planner) dropUnlisted(capacity map[int64]map[string]float64) {
	unlisted := func(destination int64, zone string) bool { _, listed := capacity[destination][zone]; return !listed }
	maps.DeleteFunc(p.sites, func(key siteKey, _ *Site) bool { return unlisted(key.destination, key.zone) })
	maps.DeleteFunc(p.routes, func(route routeKey, _ *routeState) bool { return unlisted(route.destination, route.to) })
	maps.DeleteFunc(p.streaks, func(route routeKey, _ float64) bool { return unlisted(route.destination, route.to) })
	maps.DeleteFunc(p.slowStreaks, func(key siteKey, _ slowStreak) bool { return unlisted(key.destination, key.zone) })
	maps.DeleteFunc(p.demand, func(key siteKey, _ float64) bool { return len(capacity[key.destination]) == 0 })
}

// updateRoutes counts, for one site, the windows in which a route looked cut or healthy, and marks the route as cut or
// restored.
func (p *Planner) updateRoutes(destination int64, zone string, bad, good []string) {
	for _, from := range bad {
		route := routeKey{destination, from, zone}
		state := p.routes[route]
		if state == nil {
			state = &routeState{}
			p.routes[route] = state
		}
		state.good = 0
		if len(good) == 0 && (len(bad) > 1 || from == zone) { // no zone reaches it: the site is down
			state.bad = 0
			continue
		}
		if state.bad++; !state.cut && state.bad >= p.cfg.Confirm {
			state.cut = true
			p.recordMove(destination, from, zone, "path cut", "calls are lost; other zones still reach it: %s", strings.Join(good, ","))
		}
	}
	for _, from := range good {
		state := p.routes[routeKey{destination, from, zone}]
		if state == nil {
			continue
		}
		state.bad = 0
		if state.good++; state.good >= recoveryWindows {
			if state.cut {
				p.recordMove(destination, from, zone, "path back", "%d consecutive windows without loss", state.good)
			}
			delete(p.routes, routeKey{destination, from, zone})
		}
	}
}

// updatePhase changes the phase of a site. A site that goes down is ejected. After the ejection period it is readmitted
// with slow start, once probe calls have succeeded.
func (p *Planner) updatePhase(site *Site, down, healthy bool, total Tally, in Input, origins string) {
	switch {
	case down:
		site.Good = 0
		site.Bad++
	case healthy:
		site.Bad = 0
		site.Good++
	}
	certain := down && total.Lost() >= certainLossCalls && total.LossRate() >= certainLossShare
	switch {
	case site.Phase != Down && down && (site.Bad >= p.cfg.Confirm || certain):
		if site.Phase == Return || site.Flaps > 0 && site.Since < p.cfg.FlapWithin {
			site.Flaps++
		}
		site.Rest = min(p.cfg.RestMost, p.cfg.Rest<<min(site.Flaps, 6))
		site.Phase, site.Since, site.Good = Down, 0, 0
		site.Why = fmt.Sprintf("%.0f of %.0f calls lost, reported by %s", total.Lost(), total.Calls(), origins)
		p.recordMove(site.Destination, "", site.Place, "out", "%s; ejected for %v", site.Why, site.Rest)
	case site.Phase == Down:
		if site.Rest -= in.Elapsed; site.Rest <= 0 && site.Good >= recoveryWindows {
			site.Phase, site.Since = Return, 0
			site.Why = fmt.Sprintf("probe calls answered in %d consecutive windows", site.Good)
			p.recordMove(site.Destination, "", site.Place, "back", "%s; slow start from %.0f %% to full capacity in %v", site.Why, 100*p.cfg.ColdFrom, p.cfg.WarmWithin)
		}
	case site.Phase == Return && site.Since >= p.cfg.WarmWithin:
		site.Phase, site.Since, site.Why = Open, 0, ""
		site.Flaps = max(site.Flaps, 1) // until FlapWithin has passed
	case site.Phase == Open && site.Since >= p.cfg.FlapWithin:
		site.Flaps = 0
	}
}

// slowStreak counts consecutive windows in which the median latency of a site was far above its baseline, and their
// calls.
type slowStreak struct {
	windows int
	calls   float64
}

// confirmed reports whether the site is slow, rather than some process having had no CPU for a moment.
func (r slowStreak) confirmed(minWindows int) bool {
	return r.calls >= certainLossCalls || r.windows >= minWindows && r.calls >= minObserverCalls
}

// updateSlowness lowers the capacity of a site in proportion to its latency, so that the number of concurrent calls
// stays the same.
func (p *Planner) updateSlowness(site *Site, total Tally, healthy bool) {
	median := total.Median()
	if site.Slow == 0 {
		site.Slow = 1
	}
	key := siteKey{site.Destination, site.Place}
	isSlow := site.Usual > 0 && float64(median) > slowLatencyFactor*float64(site.Usual) && median > site.Usual+minSlowExcess
	if median > 0 && !isSlow || site.Phase != Open {
		delete(p.slowStreaks, key)
	}
	switch {
	case median == 0 || site.Phase != Open:
	case site.Usual == 0:
		site.Usual = median
	case isSlow:
		streak := p.slowStreaks[key]
		streak.windows, streak.calls = streak.windows+1, streak.calls+total.timedCalls()
		p.slowStreaks[key] = streak
		if site.Slow == 1 && !streak.confirmed(p.cfg.Confirm) {
			return
		}
		previous := site.Slow
		site.Slow = math.Max(minSlowCapacityShare, math.Min(site.Slow, 1.5*float64(site.Usual)/float64(median)))
		if previous == 1 {
			p.recordMove(site.Destination, "", site.Place, "slow", "median latency is %v; the baseline is %v", median, site.Usual)
		}
	case healthy:
		if site.Slow < 1 {
			if site.Slow = math.Min(1, site.Slow+0.15); site.Slow == 1 {
				p.recordMove(site.Destination, "", site.Place, "near again", "median latency is %v", median)
			}
		}
		weight := baselineRiseWeight
		if median < site.Usual {
			weight = baselineFallWeight
		}
		site.Usual += time.Duration(weight * float64(median-site.Usual))
	}
}

// estimateCapacity takes the rate of answered calls as the capacity of a site that refuses a high share of its calls.
func (s *Site) estimateCapacity(total Tally, capacity float64, elapsed time.Duration) {
	if s.Found == 0 {
		s.Found = 1
	}
	answered := (total.OK + total.Failed) / math.Max(0.001, elapsed.Seconds())
	switch heavily := total.refusesHeavily(); {
	case s.Phase == Down:
		s.Found = 1
	case heavily && capacity > 0:
		s.Found = math.Max(minEstimateShare, math.Min(s.Found, answered/capacity))
	case total.Refused == 0 || total.Refused < highRefusalShare/2*total.Calls():
		s.Found = math.Min(1, s.Found+estimateGrowthShare)
	}
}

// usableCapacity returns the calls per second that a site can take now.
func (p *Planner) usableCapacity(site *Site, capacity float64) float64 {
	allowed := capacity * p.cfg.Headroom
	switch site.Phase {
	case Down:
		return 0
	case Return:
		progress := math.Min(1, site.Since.Seconds()/math.Max(0.1, p.cfg.WarmWithin.Seconds()))
		return allowed * math.Min(site.Found, p.cfg.ColdFrom+(1-p.cfg.ColdFrom)*progress)
	}
	return allowed * math.Min(site.Slow, site.Found)
}

// ---- allocation ----

// updateDemand returns the demand for a destination by origin zone: rises apply at once, falls are smoothed.
func (p *Planner) updateDemand(destination int64, in Input) map[string]float64 {
	byOrigin := map[string]float64{}
	for zone, summary := range in.Zones {
		key, now := siteKey{destination, zone}, summary.Demand[destination]
		if !(now >= 0 && now <= maxPlausibleRate) { // not a plausible number
			now = p.demand[key]
		}
		if previous := p.demand[key]; now < previous {
			now = previous + demandFallWeight*(now-previous)
		}
		if p.demand[key] = now; now < 0.01 {
			delete(p.demand, key)
		}
	}
	for _, zone := range p.origins {
		if demand := p.demand[siteKey{destination, zone}]; demand > 0 {
			byOrigin[zone] = demand
		}
	}
	return byOrigin
}

// assignQuotas assigns the quotas of a destination to the origin zones.
func (p *Planner) assignQuotas(destination int64, in Input) (quotas []Quota) {
	capacity := in.Capacity[destination]
	demand := p.updateDemand(destination, in)
	origins, targets := slices.Sorted(maps.Keys(demand)), slices.Sorted(maps.Keys(capacity))
	usable, local, unserved := map[string]float64{}, map[string]float64{}, map[string]float64{}
	isCut := func(from, to string) bool {
		state := p.routes[routeKey{destination, from, to}]
		return state != nil && state.cut
	}
	for _, to := range targets {
		usable[to] = p.usableCapacity(p.site(destination, to), capacity[to])
	}
	for _, from := range origins { // local traffic first
		unserved[from] = demand[from]
		if _, hasLocalSite := capacity[from]; hasLocalSite && !isCut(from, from) {
			local[from] = math.Min(demand[from], usable[from])
		}
	}
	available := map[string]float64{} // for cross-zone traffic, beside quotas that may still be in use
	activeRates := map[routeKey]float64{}
	for _, to := range targets {
		available[to] = math.Max(0, usable[to]-p.cfg.Reserve*capacity[to]-local[to])
		for _, from := range origins {
			if route := (routeKey{destination, from, to}); from != to {
				activeRates[route] = p.maxActiveRate(route)
			}
		}
	}
	p.evacuate(destination, in, local, available, demand)
	for _, from := range origins {
		unserved[from] -= local[from]
	}
	overflows := map[string]bool{} // more demand than the local zone takes: cut routes would help and are probed
	for from, rate := range unserved {
		overflows[from] = rate > 0
	}
	crossZone, unassigned := p.assignCrossZone(destination, in, origins, targets, unserved, available, activeRates, isCut)
	inbound := map[string]float64{}
	for route, rate := range crossZone {
		inbound[route.to] += rate
	}
	addQuota := func(from, to string, rate float64, trial bool) {
		if rate <= 0 {
			return
		}
		quota := Quota{Destination: destination, From: from, To: to, Rate: rate, Share: math.Min(1, rate/math.Max(1e-9, demand[from])), Trial: trial}
		previous, found := p.last.findQuota(destination, from, to)
		if decrease := previous.Rate - rate; found && !trial && !previous.Trial && decrease > 0 && decrease <= quotaToleranceShare*previous.Rate && decrease <= unassigned[to] {
			unassigned[to] -= decrease
			// A slightly lower rate is no change, if the capacity allows the old one.
			quota.Rate, quota.Share = previous.Rate, math.Min(1, previous.Rate/math.Max(1e-9, demand[from]))
		}
		// Demand held back during the outage must not arrive all at once.
		if from == to && !trial && p.site(destination, to).Phase == Return {
			quota.Bound = usable[to] - inbound[to]
		}
		quotas = append(quotas, quota)
	}
	for _, from := range origins {
		for _, to := range targets {
			rate := crossZone[routeKey{destination, from, to}]
			if from == to {
				rate = local[from]
			}
			probedRemotely := from != to && p.site(destination, to).Phase == Down && p.probeZone(destination, to, origins, in) == from
			probed := probedRemotely || from == to && (p.site(destination, to).Phase == Down || isCut(from, to)) || from != to && isCut(from, to) && overflows[from]
			if probed && !in.Evacuate[to] {
				addQuota(from, to, math.Max(1, p.cfg.Trial*capacity[to]), true)
				continue
			}
			addQuota(from, to, rate, false)
		}
	}
	return quotas
}

// probeZone returns another zone whose forwarders probe a site that is down: if they reach it, the route from the
// site's own zone is cut and the site is not down.
func (p *Planner) probeZone(destination int64, to string, origins []string, in Input) string {
	for _, from := range p.topology.SortByCost(to, origins) {
		if _, reporting := in.Zones[from]; reporting && from != to {
			return from
		}
	}
	return ""
}

// evacuate moves local traffic away, a quarter of the demand per window, as far as other zones have capacity for it.
func (p *Planner) evacuate(destination int64, in Input, local, available, demand map[string]float64) {
	for _, zone := range slices.Sorted(maps.Keys(in.Evacuate)) {
		if !in.Evacuate[zone] {
			continue
		}
		delete(available, zone)
		if local[zone] == 0 {
			continue
		}
		spare := 0.0
		for _, rate := range available {
			spare += rate
		}
		previous := math.Min(demand[zone], p.lastRate(destination, zone, zone)) // an evacuated zone stays empty
		local[zone] = math.Min(local[zone], math.Max(0, previous-math.Min(evacuationShare*demand[zone], spare)))
		if local[zone] < 0.01*demand[zone] {
			local[zone] = 0
		}
	}
}

// assignCrossZone assigns the unserved demand to the spare capacity of other zones, the cheapest first, and in
// proportion where several zones want the same capacity. Rates grow in steps: the next step follows once all forwarders
// apply the previous one and the zone has not refused it. Unassigned is the capacity that is left.
func (p *Planner) assignCrossZone(destination int64, in Input, origins, targets []string, unserved, available map[string]float64, activeRates map[routeKey]float64, isCut func(from, to string) bool) (rates map[routeKey]float64, unassigned map[string]float64) {
	rates, unassigned = map[routeKey]float64{}, maps.Clone(available)
	remaining := unassigned
	for _, to := range targets { // rates that may be in use take their capacity first; what is left is shared
		for _, from := range origins {
			available[to] -= activeRates[routeKey{destination, from, to}]
		}
	}
	preferences := map[string][]string{}
	for _, from := range origins {
		preferences[from] = slices.DeleteFunc(p.topology.SortByCost(from, targets), func(to string) bool { return to == from || in.Evacuate[to] })
	}
	for rank := range targets {
		requests := map[string][]routeKey{}
		wanted := map[routeKey]float64{}
		for _, from := range origins {
			if rank >= len(preferences[from]) || unserved[from] <= 0 {
				continue
			}
			to := preferences[from][rank]
			route := routeKey{destination, from, to}
			if isCut(from, to) || p.site(destination, to).Phase == Down {
				continue
			}
			previous := p.lastRate(destination, from, to)
			allowed := previous + p.cfg.Step*remaining[to]
			switch {
			case p.site(destination, to).Refuses:
				allowed = previous
			case previous > 0 && p.reportedVersions[from] < p.growthVersions[from] && p.growthWaits[from] < p.cfg.Hold:
				allowed = (1 + unconfirmedGrowthShare) * previous
				// Small variations of demand must not involve a further zone.
				if unserved[from]-allowed <= quotaToleranceShare*unserved[from] {
					unserved[from] = math.Min(unserved[from], allowed)
				}
			}
			wanted[route] = math.Min(unserved[from], math.Min(p.linkHeadroom(route), allowed))
			requests[to] = append(requests[to], route)
		}
		for _, to := range slices.Sorted(maps.Keys(requests)) {
			free, excess := math.Max(0, available[to]), 0.0
			limit := math.Max(0, remaining[to]) // limit of all rates together, whatever was assigned before
			for _, route := range requests[to] {
				excess += math.Max(0, wanted[route]-activeRates[route])
			}
			scale := 1.0
			if excess > free {
				scale = free / excess
			}
			sum := 0.0
			for _, route := range requests[to] {
				rates[route] = math.Min(wanted[route], activeRates[route]) + scale*math.Max(0, wanted[route]-activeRates[route])
				sum += rates[route]
			}
			for _, route := range requests[to] {
				if sum > limit { // its capacity has shrunk
					rates[route] *= limit / sum
				}
				available[to] -= math.Max(0, rates[route]-activeRates[route])
				remaining[to] -= rates[route]
				unserved[route.from] -= rates[route]
				p.reserveLink(route, rates[route])
				quota, found := p.last.findQuota(destination, route.from, route.to)
				if rates[route] > quota.Rate {
					p.growthVersions[route.from] = p.last.Version + 1
				}
				if !found && rates[route] > 0 {
					p.recordMove(destination, route.from, route.to, "crossing", "%.1f calls/s exceed the capacity of the local zone", rates[route])
				}
			}
		}
	}
	return rates, unassigned
}

func equalQuotas(a, b []Quota) bool {
	return slices.EqualFunc(a, b, func(first, second Quota) bool {
		return compareQuotas(first, second) == 0 && first.Trial == second.Trial && math.Abs(first.Rate-second.Rate) <= quotaToleranceShare*math.Max(first.Rate, second.Rate)
	})
}

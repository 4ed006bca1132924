// Package places simulates days of a fleet in several zones and regions in virtual time: forwarders that make single
// calls, destinations with a site in each zone, and faults of zones and of the links between them. A policy decides
// which zone a call goes to: the forwarder's own planner and followers (internal/cluster/plan), or one of the baselines
// that it is compared with. Equal seeds give equal runs.
package places

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/plan"
)

const (
	step             = 100 * time.Millisecond // of virtual time
	window           = time.Second            // report window of the forwarders
	serviceTime      = 60 * time.Millisecond  // median time of a call at a healthy site
	sameRegionDelay  = 2 * time.Millisecond
	crossRegionDelay = 30 * time.Millisecond
	sameRegionPrice  = 0.02 // of a cross-zone call, where a message of the lowest class is worth 1
	crossRegionPrice = 0.1
	callTimeout      = time.Second     // after which a call without an answer fails
	fullWorthAge     = time.Second     // up to this age a delivered message earns its full worth
	deadline         = 4 * time.Second // age at which a message is dropped
	deadlineWorth    = 0.4             // share of its worth that a message earns at the deadline; linear in between
	maxAttempts      = 3
	retryDelay       = 200 * time.Millisecond
	maxPlanDelay     = 300 * time.Millisecond  // until a new plan has reached every forwarder
	overloadFactor   = 1.5                     // load at which a site fails, relative to its capacity; the users' figure
	tipAfter         = 1500 * time.Millisecond // period over which the load is taken
	tipFor           = 4 * time.Second         // how long an overloaded site is down
	coldFrom         = 0.3                     // share of its capacity that a site has when it comes back
	warmWithin       = 14 * time.Second        // until a returned site has its full capacity, linearly
	rateLimitFactor  = 1.1                     // combined rate limit of the callers of a site, relative to its capacity
	burstWindows     = 1.5                     // size of the token bucket for a zone, in report windows at its rate
)

// classes are the users' message classes with the worth of a message and the share of messages, which add up to 1.
var classes = []struct{ worth, share float64 }{{5, 0.1}, {2, 0.3}, {1, 0.6}}

// Day is a scenario: load and faults over time.
type Day struct {
	Name   string
	Length time.Duration
	Load   float64            // demand as a share of the capacity of all sites
	Skew   map[string]float64 // factor on the demand of a zone; 1 by default
	Faults []Fault
}

// Fault is a fault of sites or of links. It starts at At and lasts for For.
type Fault struct {
	At, For time.Duration
	Zones   []string      // zones whose sites are affected
	Slow    float64       // factor on the time of calls, reached linearly over Ramp; 0 means the sites are down
	Ramp    time.Duration // of Slow; 0 applies it at once
	From    []string      // if set, only calls from these zones to Zones are affected: they get no answer
	Every   time.Duration // period of an intermittent fault, active for the first half of each; 0 is permanent
}

// Setup describes the fleet and its destinations.
type Setup struct {
	Forwarders int
	Zones      map[string]string // region of each zone
	Sites      int               // number of destinations, each with a site in every zone
	Capacity   float64           // of one site, in calls per second
}

// Wide is the default fleet: 300 forwarders in two regions of three zones each.
var Wide = Setup{
	Forwarders: 300, Zones: map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}, Sites: 4, Capacity: 100,
}

// Days are the scenarios on which policies are compared.
var Days = []Day{
	{Name: "calm", Length: 60 * time.Second, Load: 0.6},
	{Name: "zone lost", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"a1"}}}},
	{Name: "slow zone", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 10 * time.Second, For: 45 * time.Second, Zones: []string{"a1"}, Slow: 6, Ramp: 30 * time.Second}}},
	{Name: "one-way cut", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"a1"}, From: []string{"a1"}}}},
	{Name: "region lost", Length: 90 * time.Second, Load: 0.45, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"b1", "b2", "b3"}}}},
	{Name: "flapping", Length: 150 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 120 * time.Second, Zones: []string{"a1"}, Every: 6 * time.Second}}},
	{Name: "skewed demand", Length: 60 * time.Second, Load: 0.85, Skew: map[string]float64{"a1": 1.6, "a2": 0.7, "b3": 0.7}},
}

// Result holds the figures of one run.
type Result struct {
	Day, Policy       string
	Seed              uint64
	Offered           float64 // worth of all messages
	Worth             float64 // worth of the delivered messages
	Price             float64 // of cross-zone calls
	Messages          int
	Calls             int
	CrossZone         int           // cross-zone calls
	NeedlessCrossZone int           // cross-zone calls made while the local site was healthy and had spare capacity
	Refused           int           // calls that a site refused for lack of capacity
	Overloaded        int           // failures of healthy sites through overload
	OverloadedSlow    int           // failures of slow sites through overload
	Moves             int           // moves of traffic out of zones and back that plans made
	Plans             int           // plans that differ from the one before
	PlanRollout       time.Duration // from the first fault until all forwarders follow a plan with a move out; 0 is never
	P99               time.Duration
	Series            []Point
}

// Point holds the figures of one second of a run.
type Point struct {
	AnsweredByZone map[string]float64 // answered calls by zone
	CapacityByZone map[string]float64 // capacity of the sites that are up by zone, in calls per second
	Demand         float64            // messages accepted
	Version        uint64             // newest plan that any forwarder follows
}

// site is the endpoint of a destination in a zone.
type site struct {
	destination     int64
	zone            string
	capacity        float64
	down            bool          // by a fault
	overloadedUntil time.Duration // down through overload until then
	backAt          time.Duration // end of the last outage; negative if there was none
	slow            float64       // factor on the time of calls
	recent          []float64     // calls in each of the last steps, within tipAfter
	used            float64       // calls in the current step
	answered        float64       // calls in the current report window
}

func (s *site) up(now time.Duration) bool { return !s.down && now >= s.overloadedUntil }

// currentCapacity returns the capacity of the site in calls per second, reduced while it is slow or warming up.
func (s *site) currentCapacity(now time.Duration) float64 {
	if s.backAt < 0 {
		return s.capacity / s.slow
	}
	warm := math.Min(1, float64(now-s.backAt)/float64(warmWithin))
	return s.capacity / s.slow * (coldFrom + (1-coldFrom)*warm)
}

// forwarder is a simulated member of the fleet.
type forwarder struct {
	name     string
	zone     string
	report   *plan.Report // of the current report window
	streaks  plan.LossStreaks
	selector targetSelector
	tokens   map[plan.Path]float64       // token buckets of the rate limits
	refilled map[plan.Path]time.Duration // when tokens were last added
	breakers map[plan.Path]breaker
}

// breaker is the circuit breaker and slow start of a forwarder for a site.
type breaker struct {
	failures    int // consecutive failures
	openUntil   time.Duration
	outage      bool          // the breaker was open, and slow start has not ended since
	recoveredAt time.Duration // first success since the outage; 0 before
}

// message is a message that waits at a forwarder.
type message struct {
	class               int
	destination         int64
	acceptedAt, retryAt time.Duration
	attempts            int
}

// targetSelector is the part of a policy that runs at one forwarder.
type targetSelector interface {
	// targets returns the zones to call for a destination, in order of preference, each with a rate limit in calls per
	// second. A rate of +Inf leaves the limit to the forwarder.
	targets(now time.Duration, destination int64) []plan.Target
}

// run is the state of one simulation.
type run struct {
	Setup
	day       Day
	rng       *rand.Rand
	now       time.Duration
	zones     []string
	topology  plan.Topology
	sites     map[plan.Path]*site
	allSites  []*site                      // in a fixed order, for equal runs
	capacity  map[int64]map[string]float64 // of healthy sites, by destination and zone
	fleet     []*forwarder
	byZone    map[string][]*forwarder
	queues    map[*forwarder][]message
	policy    policy
	result    Result
	latencies []float64 // age of messages at delivery, in seconds
}

// policy decides which zones forwarders call.
type policy interface {
	// addForwarder returns the target selector of a forwarder.
	addForwarder(r *run, f *forwarder) targetSelector
	// endWindow receives the reports of a window by zone.
	endWindow(r *run, reports map[string][]plan.Report)
}

// Simulate runs a day under the named policy, which is one of Policies.
func Simulate(s Setup, d Day, name string, seed uint64) (Result, error) {
	r := &run{
		Setup: s, day: d, rng: rand.New(rand.NewPCG(seed, 9)), sites: map[plan.Path]*site{}, capacity: map[int64]map[string]float64{},
		byZone: map[string][]*forwarder{}, queues: map[*forwarder][]message{},
		result: Result{Day: d.Name, Policy: name, Seed: seed},
	}
	r.topology = plan.Topology{Region: s.Zones, Within: plan.Link{Delay: sameRegionDelay, Price: sameRegionPrice}, Across: plan.Link{Delay: crossRegionDelay, Price: crossRegionPrice}}
	for z := range s.Zones {
		r.zones = append(r.zones, z)
	}
	slices.Sort(r.zones)
	for d := int64(1); d <= int64(s.Sites); d++ {
		r.capacity[d] = map[string]float64{}
		for _, z := range r.zones {
			st := &site{destination: d, zone: z, capacity: s.Capacity, backAt: -1, slow: 1}
			r.sites[plan.Path{Destination: d, To: z}] = st
			r.allSites = append(r.allSites, st)
			r.capacity[d][z] = s.Capacity
		}
	}
	var err error
	if r.policy, err = newPolicy(name, r); err != nil {
		return Result{}, err
	}
	for i := range s.Forwarders {
		f := &forwarder{name: fmt.Sprintf("f%03d", i), zone: r.zones[i%len(r.zones)], tokens: map[plan.Path]float64{}, refilled: map[plan.Path]time.Duration{}, breakers: map[plan.Path]breaker{}}
		f.resetReport()
		f.streaks = plan.LossStreaks{}
		f.selector = r.policy.addForwarder(r, f)
		r.fleet = append(r.fleet, f)
		r.byZone[f.zone] = append(r.byZone[f.zone], f)
	}
	for ; r.now < d.Length+deadline; r.now += step {
		r.applyFaults()
		r.advance()
		if (r.now+step)%window == 0 {
			r.endWindow()
		}
	}
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.result.P99 = time.Duration(r.latencies[n*99/100] * float64(time.Second))
	}
	return r.result, nil
}

// resetReport starts an empty report for the next window.
func (f *forwarder) resetReport() {
	f.report = &plan.Report{Observer: f.name, Place: f.zone, Span: window, Demand: map[int64]float64{}, Paths: map[plan.Path]plan.Tally{}}
}

// applyFaults sets the state of the sites according to the faults of the day.
func (r *run) applyFaults() {
	for _, s := range r.allSites {
		was := s.down
		s.down, s.slow = false, 1
		for _, f := range r.day.Faults {
			if len(f.From) > 0 || !slices.Contains(f.Zones, s.zone) || !f.active(r.now) {
				continue
			}
			if f.Slow == 0 {
				s.down = true
				continue
			}
			ramped := 1.0
			if f.Ramp > 0 {
				ramped = math.Min(1, float64(r.now-f.At)/float64(f.Ramp))
			}
			s.slow = math.Max(s.slow, 1+(f.Slow-1)*ramped)
		}
		if was && !s.down {
			s.backAt = r.now
		}
	}
}

// active reports whether the fault is in effect.
func (f Fault) active(now time.Duration) bool {
	if now < f.At || now >= f.At+f.For {
		return false
	}
	return f.Every == 0 || (now-f.At)%f.Every < f.Every/2
}

// linkDown reports whether calls from one zone to another get no answer.
func (r *run) linkDown(from, to string) bool {
	for _, f := range r.day.Faults {
		if slices.Contains(f.From, from) && slices.Contains(f.Zones, to) && f.active(r.now) {
			return true
		}
	}
	return false
}

// poisson returns a random number from a Poisson distribution, with a normal approximation for means above 30.
func (r *run) poisson(mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.rng.NormFloat64())))
	}
	n, l := 0, math.Exp(-mean)
	for p := r.rng.Float64(); p > l; p *= r.rng.Float64() {
		n++
	}
	return n
}

// demandOf returns the messages per second that clients in a zone send to each destination.
func (r *run) demandOf(zone string) float64 {
	skew := 1.0
	if k, found := r.day.Skew[zone]; found {
		skew = k
	}
	return r.day.Load * skew * r.Setup.Capacity
}

// advance simulates one step: forwarders accept messages and make calls, and overloaded sites fail.
func (r *run) advance() {
	for _, s := range r.allSites {
		s.used = 0
	}
	if r.now < r.day.Length {
		for _, z := range r.zones {
			for d := int64(1); d <= int64(r.Sites); d++ {
				for range r.poisson(r.demandOf(z) * step.Seconds()) {
					f := r.byZone[z][r.rng.IntN(len(r.byZone[z]))]
					m := message{destination: d, acceptedAt: r.now, retryAt: r.now}
					for x := r.rng.Float64(); m.class < 2 && x > classes[m.class].share; m.class++ {
						x -= classes[m.class].share
					}
					r.result.Messages++
					r.result.Offered += classes[m.class].worth
					f.report.Demand[d]++
					r.queues[f] = append(r.queues[f], m)
				}
			}
		}
	}
	for _, i := range r.rng.Perm(len(r.fleet)) {
		if f := r.fleet[i]; len(r.queues[f]) > 0 {
			r.makeCalls(f)
		}
	}
	for _, s := range r.allSites {
		s.recent = append(s.recent, s.used)
		if n := int(tipAfter / step); len(s.recent) > n {
			s.recent = s.recent[1:]
		}
		sum := 0.0
		for _, n := range s.recent {
			sum += n
		}
		if s.up(r.now) && sum > overloadFactor*s.currentCapacity(r.now)*tipAfter.Seconds() {
			s.overloadedUntil, s.backAt, s.recent = r.now+tipFor, r.now+tipFor, nil
			if s.slow > 1 {
				r.result.OverloadedSlow++
			} else {
				r.result.Overloaded++
			}
		}
	}
}

// makeCalls makes the calls of one forwarder that are due, in descending order of worth.
func (r *run) makeCalls(f *forwarder) {
	list := r.queues[f]
	slices.SortStableFunc(list, func(a, b message) int { return a.class - b.class })
	allowed := map[int64][]plan.Target{}
	var rest []message
	for _, m := range list {
		if m.retryAt > r.now {
			rest = append(rest, m)
			continue
		}
		if _, known := allowed[m.destination]; !known {
			allowed[m.destination] = f.selector.targets(r.now, m.destination)
			for i, t := range allowed[m.destination] {
				at := plan.Path{Destination: m.destination, To: t.Zone}
				if math.IsInf(t.Rate, 1) { // the forwarder's own limit: an even share of the listed capacity
					t.Rate = rateLimitFactor * r.Setup.Capacity / float64(r.callerCount(f, t.Zone))
				}
				t.Rate *= r.slowStart(f, at)
				allowed[m.destination][i].Rate = t.Rate
				if _, found := f.refilled[at]; !found {
					f.tokens[at], f.refilled[at] = r.rng.Float64(), r.now
				}
				gained := t.Rate * (r.now - f.refilled[at]).Seconds()
				f.tokens[at] = math.Min(math.Max(1, t.Rate*burstWindows*window.Seconds()), f.tokens[at]+gained)
				f.refilled[at] = r.now
			}
		}
		to := ""
		for _, t := range allowed[m.destination] {
			at := plan.Path{Destination: m.destination, To: t.Zone}
			if b := f.breakers[at]; r.now < b.openUntil {
				continue
			}
			if f.tokens[at] < 1 {
				continue
			}
			f.tokens[at]--
			to = t.Zone
			break
		}
		if to == "" { // every target is over its rate limit or has an open breaker
			if m.retryAt = r.now + step; m.retryAt < m.acceptedAt+deadline {
				rest = append(rest, m)
			}
			continue
		}
		if m.attempts++; !r.call(f, m, to) {
			m.retryAt = r.now + retryDelay
			if r.linkDown(f.zone, to) {
				m.retryAt = r.now + callTimeout
			}
			if m.attempts < maxAttempts && m.retryAt < m.acceptedAt+deadline {
				rest = append(rest, m)
			}
		}
	}
	r.queues[f] = rest
}

// slowStart returns the share of its rate that a forwarder sends to a site after an outage, as the real forwarder does.
func (r *run) slowStart(f *forwarder, at plan.Path) float64 {
	b := f.breakers[at]
	switch {
	case !b.outage:
		return 1
	case b.recoveredAt == 0:
		return coldFrom
	}
	return math.Min(1, coldFrom+(1-coldFrom)*float64(r.now-b.recoveredAt)/float64(warmWithin))
}

// callerCount returns the number of forwarders that share the capacity of a zone under the policy: those in the zone,
// or the whole fleet.
func (r *run) callerCount(f *forwarder, to string) int {
	if f.zone == to && r.result.Policy != "alike" {
		return len(r.byZone[to])
	}
	return len(r.fleet)
}

// call makes a call and reports whether it succeeded.
func (r *run) call(f *forwarder, m message, to string) bool {
	at := plan.Path{Destination: m.destination, To: to}
	s := r.sites[at]
	t := f.report.Paths[at]
	defer func() { f.report.Paths[at] = t }()
	r.result.Calls++
	if to != f.zone {
		r.result.CrossZone++
		r.result.Price += r.topology.Link(f.zone, to).Price
		if local := r.sites[plan.Path{Destination: m.destination, To: f.zone}]; local.up(r.now) && local.backAt < 0 && local.slow == 1 && !r.linkDown(f.zone, f.zone) && local.used < local.currentCapacity(r.now)*step.Seconds() {
			r.result.NeedlessCrossZone++
		}
	}
	b := f.breakers[at]
	fail := func() bool {
		if b.failures++; b.failures >= 3 {
			b.outage, b.recoveredAt = true, 0
			b.openUntil = r.now + min(4*time.Second, time.Second<<min(4, b.failures-3))
		}
		f.breakers[at] = b
		return false
	}
	switch {
	case r.linkDown(f.zone, to):
		t.Late++
		return fail()
	case !s.up(r.now):
		t.NoConnect++
		return fail()
	}
	if s.used++; s.used > s.currentCapacity(r.now)*step.Seconds()*1.2+1 { // allows bursts of 20 % plus one call
		t.Refused++
		r.result.Refused++
		return false
	}
	took := time.Duration(float64(serviceTime) * s.slow * math.Exp(0.4*r.rng.NormFloat64()))
	took += r.topology.Link(f.zone, to).Delay
	if took > callTimeout {
		t.Late++
		return fail()
	}
	if b.failures, b.openUntil = 0, 0; b.outage && b.recoveredAt == 0 {
		b.recoveredAt = r.now
	}
	if b.outage && r.now-b.recoveredAt > warmWithin {
		b = breaker{}
	}
	f.breakers[at] = b
	t.OK++
	t.RecordLatency(took)
	s.answered++
	age := r.now + took - m.acceptedAt
	worth := classes[m.class].worth
	if age > fullWorthAge {
		worth *= 1 - (1-deadlineWorth)*math.Min(1, float64(age-fullWorthAge)/float64(deadline-fullWorthAge))
	}
	r.result.Worth += worth
	r.latencies = append(r.latencies, age.Seconds())
	return true
}

// endWindow ends a report window: it collects the reports of the forwarders and passes them to the policy.
func (r *run) endWindow() {
	reports := map[string][]plan.Report{}
	p := Point{AnsweredByZone: map[string]float64{}, CapacityByZone: map[string]float64{}}
	for _, f := range r.fleet {
		if planned, follows := f.selector.(interface{ activeVersion(time.Duration) uint64 }); follows {
			f.report.Obeys = planned.activeVersion(r.now)
			p.Version = max(p.Version, f.report.Obeys)
		}
		for _, n := range f.report.Demand {
			p.Demand += n
		}
		f.report.Lost = f.streaks.EndWindow(f.report.Paths)
		reports[f.zone] = append(reports[f.zone], *f.report)
		f.resetReport()
	}
	for _, s := range r.allSites {
		p.AnsweredByZone[s.zone] += s.answered
		if s.up(r.now) {
			p.CapacityByZone[s.zone] += s.currentCapacity(r.now)
		}
		s.answered = 0
	}
	r.result.Series = append(r.result.Series, p)
	r.policy.endWindow(r, reports)
}

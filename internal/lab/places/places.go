// Package places plays days of a fleet in several zones and regions in virtual time: forwarders that make single calls, partners with a
// site in each place, faults of places and of the ways between them. Where calls go is a policy's matter: the program's own planner
// and followers (internal/cluster/plan), or one of the baselines that it is compared with. Equal seeds give equal runs.
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
	step        = 100 * time.Millisecond
	window      = time.Second
	service     = 60 * time.Millisecond // median of a call
	within      = 2 * time.Millisecond
	across      = 30 * time.Millisecond
	withinPrice = 0.02 // of a crossing, where a reading is worth 1
	acrossPrice = 0.1
	late        = time.Second // until a call without an answer is given up
	target      = time.Second // until which a message earns all of its worth,
	deadline    = 4 * time.Second
	lateEarn    = 0.4 // and its share at the deadline
	tries       = 3
	retry       = 200 * time.Millisecond
	hearing     = 300 * time.Millisecond // until a plan that was decided is heard, at the most
	overload    = 1.5                    // users' figures of partners that are pushed over
	tipAfter    = 1500 * time.Millisecond
	tipFor      = 4 * time.Second
	coldFrom    = 0.3
	warmIn      = 14 * time.Second
	pace        = 1.1 // of a site's capacity that those who call it send together, as their modules pace
	burst       = 1.5 // windows of its rate that a forwarder may have saved up for a place
)

// Classes are the users', by worth; shares add up to 1.
var classes = []struct{ worth, share float64 }{{5, 0.1}, {2, 0.3}, {1, 0.6}}

// Day is what happens.
type Day struct {
	Name   string
	Length time.Duration
	Load   float64            // of all capacity
	Skew   map[string]float64 // demand of zones, as a factor
	Faults []Fault
}

// Fault stands from a moment on for a time.
type Fault struct {
	At, For time.Duration
	Zones   []string // whose sites are down, or slow
	Slow    float64  // their calls take so many times as long, growing over Ramp; 0 is down
	Ramp    time.Duration
	From    []string      // calls from these zones to Zones are lost without a word, and nothing else is wrong
	Every   time.Duration // it comes and goes: on for half of it
}

// Setup is the fleet.
type Setup struct {
	Forwarders int
	Zones      map[string]string // and their regions
	Sites      int               // destinations with a site in each zone
	Capacity   float64           // calls a second, of one site
}

// Wide is the fleet that the figures are of: 300 forwarders in two regions of three zones.
var Wide = Setup{
	Forwarders: 300, Zones: map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}, Sites: 4, Capacity: 100,
}

// Days are those that are compared.
var Days = []Day{
	{Name: "calm", Length: 60 * time.Second, Load: 0.6},
	{Name: "zone lost", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"a1"}}}},
	{Name: "slow zone", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 10 * time.Second, For: 45 * time.Second, Zones: []string{"a1"}, Slow: 6, Ramp: 30 * time.Second}}},
	{Name: "one-way cut", Length: 90 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"a1"}, From: []string{"a1"}}}},
	{Name: "region lost", Length: 90 * time.Second, Load: 0.45, Faults: []Fault{{At: 15 * time.Second, For: 30 * time.Second, Zones: []string{"b1", "b2", "b3"}}}},
	{Name: "flapping", Length: 150 * time.Second, Load: 0.6, Faults: []Fault{{At: 15 * time.Second, For: 120 * time.Second, Zones: []string{"a1"}, Every: 6 * time.Second}}},
	{Name: "skewed demand", Length: 60 * time.Second, Load: 0.85, Skew: map[string]float64{"a1": 1.6, "a2": 0.7, "b3": 0.7}},
}

// Result is what a run showed.
type Result struct {
	Day, Policy string
	Seed        uint64
	Offered     float64 // worth
	Worth       float64 // delivered
	Price       float64 // of crossings
	Messages    int
	Calls       int
	Crossings   int // calls from one zone to another,
	Needless    int // of these, while near was well and had room
	Over        int // calls that a site had no room for
	Tips        int // sites that were pushed over, and were well,
	TipsSlow    int // and those that were slow then
	Moves       int // out and back, of the plan
	Plans       int
	InForce     time.Duration // from the first fault until all forwarders go by a plan with a move out; 0 is never
	P99         time.Duration
	Series      []Point
}

// Point is one second of a run.
type Point struct {
	ByPlace map[string]float64 // calls answered
	Room    map[string]float64 // calls a second that the place could answer
	Demand  float64
	Version uint64
}

type site struct {
	destination int64
	place       string
	capacity    float64
	down        bool // by a fault
	tipped      time.Duration
	backAt      time.Duration // below zero: never away
	slow        float64
	recent      []float64 // calls of the last steps, for tipping
	used        float64   // in this step
	answered    float64
}

func (s *site) up(now time.Duration) bool { return !s.down && now >= s.tipped }

// present is its capacity now.
func (s *site) present(now time.Duration) float64 {
	if s.backAt < 0 {
		return s.capacity / s.slow
	}
	warm := math.Min(1, float64(now-s.backAt)/float64(warmIn))
	return s.capacity / s.slow * (coldFrom + (1-coldFrom)*warm)
}

type forwarder struct {
	name    string
	place   string
	reports *plan.Report
	runs    plan.LossStreaks
	choose  chooser
	tokens  map[plan.Path]float64
	served  map[plan.Path]time.Duration // when tokens were last given
	broken  map[plan.Path]breaker
}

type breaker struct {
	run   int
	until time.Duration
	saw   bool          // an outage,
	well  time.Duration // and the first success since
}

type message struct {
	class       int
	destination int64
	at, again   time.Duration
	tries       int
}

// chooser is a policy at one forwarder.
type chooser interface {
	// targets are the places for a destination, the best first, each with calls a second; +Inf is no bound.
	targets(now time.Duration, destination int64) []plan.Target
}

// run is one play.
type run struct {
	Setup
	day       Day
	rng       *rand.Rand
	now       time.Duration
	zones     []string
	places    plan.Topology
	sites     map[plan.Path]*site
	order     []*site
	capacity  map[int64]map[string]float64
	fleet     []*forwarder
	byZone    map[string][]*forwarder
	waiting   map[*forwarder][]message
	policy    policy
	result    Result
	latencies []float64
}

// policy is what decides in common, if anything does.
type policy interface {
	join(r *run, f *forwarder) chooser
	window(r *run, reports map[string][]plan.Report)
}

// Play plays a day by a policy: plan, near, alike, alone or truth.
func Play(s Setup, d Day, name string, seed uint64) (Result, error) {
	r := &run{
		Setup: s, day: d, rng: rand.New(rand.NewPCG(seed, 9)), sites: map[plan.Path]*site{}, capacity: map[int64]map[string]float64{},
		byZone: map[string][]*forwarder{}, waiting: map[*forwarder][]message{},
		result: Result{Day: d.Name, Policy: name, Seed: seed},
	}
	r.places = plan.Topology{Region: s.Zones, Within: plan.Link{Delay: within, Price: withinPrice}, Across: plan.Link{Delay: across, Price: acrossPrice}}
	for z := range s.Zones {
		r.zones = append(r.zones, z)
	}
	slices.Sort(r.zones)
	for d := int64(1); d <= int64(s.Sites); d++ {
		r.capacity[d] = map[string]float64{}
		for _, z := range r.zones {
			st := &site{destination: d, place: z, capacity: s.Capacity, backAt: -1, slow: 1}
			r.sites[plan.Path{Destination: d, To: z}] = st
			r.order = append(r.order, st)
			r.capacity[d][z] = s.Capacity
		}
	}
	var err error
	if r.policy, err = newPolicy(name, r); err != nil {
		return Result{}, err
	}
	for i := range s.Forwarders {
		f := &forwarder{name: fmt.Sprintf("f%03d", i), place: r.zones[i%len(r.zones)], tokens: map[plan.Path]float64{}, served: map[plan.Path]time.Duration{}, broken: map[plan.Path]breaker{}}
		f.fresh()
		f.runs = plan.LossStreaks{}
		f.choose = r.policy.join(r, f)
		r.fleet = append(r.fleet, f)
		r.byZone[f.place] = append(r.byZone[f.place], f)
	}
	for ; r.now < d.Length+deadline; r.now += step {
		r.faults()
		r.step()
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

func (f *forwarder) fresh() {
	f.reports = &plan.Report{Observer: f.name, Place: f.place, Span: window, Demand: map[int64]float64{}, Paths: map[plan.Path]plan.Tally{}}
}

// faults sets sites as the day says.
func (r *run) faults() {
	for _, s := range r.order {
		was := s.down
		s.down, s.slow = false, 1
		for _, f := range r.day.Faults {
			if len(f.From) > 0 || !slices.Contains(f.Zones, s.place) || !f.on(r.now) {
				continue
			}
			if f.Slow == 0 {
				s.down = true
				continue
			}
			grown := 1.0
			if f.Ramp > 0 {
				grown = math.Min(1, float64(r.now-f.At)/float64(f.Ramp))
			}
			s.slow = math.Max(s.slow, 1+(f.Slow-1)*grown)
		}
		if was && !s.down {
			s.backAt = r.now
		}
	}
}

func (f Fault) on(now time.Duration) bool {
	if now < f.At || now >= f.At+f.For {
		return false
	}
	return f.Every == 0 || (now-f.At)%f.Every < f.Every/2
}

func (r *run) cut(from, to string) bool {
	for _, f := range r.day.Faults {
		if slices.Contains(f.From, from) && slices.Contains(f.Zones, to) && f.on(r.now) {
			return true
		}
	}
	return false
}

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

// demandOf is what is handed in at a zone for each destination, messages a second.
func (r *run) demandOf(zone string) float64 {
	skew := 1.0
	if k, some := r.day.Skew[zone]; some {
		skew = k
	}
	return r.day.Load * skew * r.Setup.Capacity
}

// step hands messages in and makes calls.
func (r *run) step() {
	for _, s := range r.order {
		s.used = 0
	}
	if r.now < r.day.Length {
		for _, z := range r.zones {
			for d := int64(1); d <= int64(r.Sites); d++ {
				for range r.poisson(r.demandOf(z) * step.Seconds()) {
					f := r.byZone[z][r.rng.IntN(len(r.byZone[z]))]
					m := message{destination: d, at: r.now, again: r.now}
					for x := r.rng.Float64(); m.class < 2 && x > classes[m.class].share; m.class++ {
						x -= classes[m.class].share
					}
					r.result.Messages++
					r.result.Offered += classes[m.class].worth
					f.reports.Demand[d]++
					r.waiting[f] = append(r.waiting[f], m)
				}
			}
		}
	}
	for _, i := range r.rng.Perm(len(r.fleet)) {
		if f := r.fleet[i]; len(r.waiting[f]) > 0 {
			r.serve(f)
		}
	}
	for _, s := range r.order {
		s.recent = append(s.recent, s.used)
		if n := int(tipAfter / step); len(s.recent) > n {
			s.recent = s.recent[1:]
		}
		sum := 0.0
		for _, n := range s.recent {
			sum += n
		}
		if s.up(r.now) && sum > overload*s.present(r.now)*tipAfter.Seconds() {
			s.tipped, s.backAt, s.recent = r.now+tipFor, r.now+tipFor, nil
			if s.slow > 1 {
				r.result.TipsSlow++
			} else {
				r.result.Tips++
			}
		}
	}
}

// serve makes the calls of one forwarder that are due, the worthiest first.
func (r *run) serve(f *forwarder) {
	list := r.waiting[f]
	slices.SortStableFunc(list, func(a, b message) int { return a.class - b.class })
	allowed := map[int64][]plan.Target{}
	var rest []message
	for _, m := range list {
		if m.again > r.now {
			rest = append(rest, m)
			continue
		}
		if _, asked := allowed[m.destination]; !asked {
			allowed[m.destination] = f.choose.targets(r.now, m.destination)
			for i, t := range allowed[m.destination] {
				at := plan.Path{Destination: m.destination, To: t.Zone}
				if math.IsInf(t.Rate, 1) { // its own pace, from what the list says and how many call there
					t.Rate = pace * r.Setup.Capacity / float64(r.callers(f, t.Zone))
				}
				t.Rate *= r.guard(f, at)
				allowed[m.destination][i].Rate = t.Rate
				if _, some := f.served[at]; !some {
					f.tokens[at], f.served[at] = r.rng.Float64(), r.now
				}
				gained := t.Rate * (r.now - f.served[at]).Seconds()
				f.tokens[at] = math.Min(math.Max(1, t.Rate*burst*window.Seconds()), f.tokens[at]+gained)
				f.served[at] = r.now
			}
		}
		to := ""
		for _, t := range allowed[m.destination] {
			at := plan.Path{Destination: m.destination, To: t.Zone}
			if b := f.broken[at]; r.now < b.until {
				continue
			}
			if f.tokens[at] < 1 {
				continue
			}
			f.tokens[at]--
			to = t.Zone
			break
		}
		if to == "" { // nowhere to go now
			if m.again = r.now + step; m.again < m.at+deadline {
				rest = append(rest, m)
			}
			continue
		}
		if m.tries++; !r.call(f, m, to) {
			m.again = r.now + retry
			if r.cut(f.place, to) {
				m.again = r.now + late
			}
			if m.tries < tries && m.again < m.at+deadline {
				rest = append(rest, m)
			}
		}
	}
	r.waiting[f] = rest
}

// guard is the share of its rate that a forwarder sends to a site of which it has seen an outage: as its module does.
func (r *run) guard(f *forwarder, at plan.Path) float64 {
	b := f.broken[at]
	switch {
	case !b.saw:
		return 1
	case b.well == 0:
		return coldFrom
	}
	return math.Min(1, coldFrom+(1-coldFrom)*float64(r.now-b.well)/float64(warmIn))
}

// callers is how many forwarders call a place by the policy's own rule: those there, or all.
func (r *run) callers(f *forwarder, to string) int {
	if f.place == to && r.result.Policy != "alike" {
		return len(r.byZone[to])
	}
	return len(r.fleet)
}

// call makes one, and says whether it was answered well.
func (r *run) call(f *forwarder, m message, to string) bool {
	at := plan.Path{Destination: m.destination, To: to}
	s := r.sites[at]
	t := f.reports.Paths[at]
	defer func() { f.reports.Paths[at] = t }()
	r.result.Calls++
	if to != f.place {
		r.result.Crossings++
		r.result.Price += r.places.Link(f.place, to).Price
		if home := r.sites[plan.Path{Destination: m.destination, To: f.place}]; home.up(r.now) && home.backAt < 0 && home.slow == 1 && !r.cut(f.place, f.place) && home.used < home.present(r.now)*step.Seconds() {
			r.result.Needless++
		}
	}
	b := f.broken[at]
	lose := func() bool {
		if b.run++; b.run >= 3 {
			b.saw, b.well = true, 0
			b.until = r.now + min(4*time.Second, time.Second<<min(4, b.run-3))
		}
		f.broken[at] = b
		return false
	}
	switch {
	case r.cut(f.place, to):
		t.Late++
		return lose()
	case !s.up(r.now):
		t.NoConnect++
		return lose()
	}
	if s.used++; s.used > s.present(r.now)*step.Seconds()*1.2+1 { // a bucket of some depth
		t.Refused++
		r.result.Over++
		return false
	}
	took := time.Duration(float64(service) * s.slow * math.Exp(0.4*r.rng.NormFloat64()))
	took += r.places.Link(f.place, to).Delay
	if took > late {
		t.Late++
		return lose()
	}
	if b.run, b.until = 0, 0; b.saw && b.well == 0 {
		b.well = r.now
	}
	if b.saw && r.now-b.well > warmIn {
		b = breaker{}
	}
	f.broken[at] = b
	t.OK++
	t.RecordLatency(took)
	s.answered++
	age := r.now + took - m.at
	worth := classes[m.class].worth
	if age > target {
		worth *= 1 - (1-lateEarn)*math.Min(1, float64(age-target)/float64(deadline-target))
	}
	r.result.Worth += worth
	r.latencies = append(r.latencies, age.Seconds())
	return true
}

// endWindow has reports go up, and whatever is decided come down.
func (r *run) endWindow() {
	reports := map[string][]plan.Report{}
	p := Point{ByPlace: map[string]float64{}, Room: map[string]float64{}}
	for _, f := range r.fleet {
		if o, obeys := f.choose.(interface{ obeys(time.Duration) uint64 }); obeys {
			f.reports.Obeys = o.obeys(r.now)
			p.Version = max(p.Version, f.reports.Obeys)
		}
		for _, n := range f.reports.Demand {
			p.Demand += n
		}
		f.reports.Lost = f.runs.EndWindow(f.reports.Paths)
		reports[f.place] = append(reports[f.place], *f.reports)
		f.fresh()
	}
	for _, s := range r.order {
		p.ByPlace[s.place] += s.answered
		if s.up(r.now) {
			p.Room[s.place] += s.present(r.now)
		}
		s.answered = 0
	}
	r.result.Series = append(r.result.Series, p)
	r.policy.window(r, reports)
}

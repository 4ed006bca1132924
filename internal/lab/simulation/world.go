// Package simulation plays a scenario in virtual time: a fleet of forwarders, each with its own decision module, partners, clients
// and faults, on one queue of events. It knows no socket and no clock, and equal seeds give equal runs. What happened is
// held against the rules as it happens.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/eventqueue"
	"mulleinbeam/internal/lab/scenario"
	"mulleinbeam/internal/memory"
)

const (
	network = 500 * time.Microsecond // one way between a forwarder and an endpoint
	listLag = 300 * time.Millisecond // from a change of the list to its arrival
	retryIn = 500 * time.Millisecond // a client that finds its forwarder dead comes again
	settle  = 30 * time.Second       // after the traffic's end, for what is held
)

// Simulation is one run.
type Simulation struct {
	s        scenario.Scenario
	now      time.Duration
	agenda   eventqueue.Queue
	events   int64
	rng      *rand.Rand // of the clients
	partners []*partner
	byName   map[mb.EndpointID]*partner
	hosts    []*host
	weights  []float64 // of partners, summed up
	parts    []float64 // of forwarders, summed up
	shares   []float64 // of classes, summed up
	load     float64   // factor
	nextID   mb.MessageID
	list     []mb.Entry
	figures  memory.Figures
	without  map[scenario.Safeguard]bool
	result   Result
	checks   checker
	// Trace is told what happens to messages, unless it is nil.
	Trace func(at time.Duration, event int64, message mb.MessageID, what string)
}

func (w *Simulation) trace(m *message, format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now, w.events, m.id, fmt.Sprintf(format, args...))
	}
}

// New lays a scenario out.
func New(s scenario.Scenario, seed uint64) (*Simulation, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	w := &Simulation{
		s: s, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[mb.EndpointID]*partner{}, load: 1, figures: memory.DefaultFigures,
		result: Result{Scenario: s.Name, Seed: seed, Classes: map[string]*ClassResult{}},
	}
	w.checks.w = w
	w.without = make(map[scenario.Safeguard]bool, len(s.DisabledSafeguards))
	for _, m := range s.DisabledSafeguards {
		w.without[m] = true
	}
	for g, group := range s.Destinations {
		for range group.Count {
			id := mb.DestinationID(len(w.partners) + 1)
			src := rand.NewPCG(seed, 1000+uint64(id))
			sample, err := group.ServiceTime.Sampler(src)
			if err != nil {
				return nil, fmt.Errorf("world: partners %d: %w", g+1, err)
			}
			servers := max(1, int(math.Ceil(group.Capacity*group.ServiceTime.Mean/1000)))
			p := &partner{
				id: id, group: group, rules: s.Rules, sample: sample, rng: rand.New(src), slow: 1, lowered: 1, backAt: -1,
				servers: make([]time.Duration, servers),
			}
			for e := range group.Endpoints {
				w.add(p, mb.EndpointID(fmt.Sprintf("p%d-%d", id, e)))
			}
			w.partners = append(w.partners, p)
		}
	}
	total := 0.0
	for i := range w.partners {
		total += math.Pow(float64(i+1), -s.Traffic.DestinationSkew)
		w.weights = append(w.weights, total)
	}
	total = 0
	for _, c := range s.Classes {
		total += c.Share
		w.shares = append(w.shares, total)
		w.result.Classes[c.Name] = &ClassResult{}
	}
	for i := range s.Fleet.Forwarders {
		h := &host{w: w, name: i, seed: seed*1_000_003 + uint64(i), held: map[mb.MessageID]*message{}}
		w.hosts = append(w.hosts, h)
		part := math.Pow(float64(i+1), -s.Traffic.ForwarderSkew)
		if i > 0 {
			part += w.parts[i-1]
		}
		w.parts = append(w.parts, part)
		w.at(0, h.start)
	}
	for _, f := range s.Faults {
		w.at(f.At.D(), func() { w.fault(f) })
	}
	w.at(0, w.arrive)
	return w, nil
}

// add lists one more endpoint.
func (w *Simulation) add(p *partner, name mb.EndpointID) {
	p.endpoints = append(p.endpoints, &endpoint{name: name})
	w.byName[name] = p
	w.list = append(w.list, w.entry(p, name, mb.Serving))
}

func (w *Simulation) entry(p *partner, name mb.EndpointID, r mb.Readiness) mb.Entry {
	return mb.Entry{Endpoint: name, Zone: "z", Kind: "k", Destination: p.id, Readiness: r, CapacityHint: p.group.CapacityHint * p.group.Capacity}
}

// at has something happen at a moment.
func (w *Simulation) at(t time.Duration, do func()) {
	w.agenda.Schedule(max(t, w.now), do)
}

// Run plays it to its end.
func (w *Simulation) Run() Result {
	end := w.s.Length.D() + settle
	for {
		at, do, some := w.agenda.Next(end)
		if !some {
			break
		}
		w.now = at
		w.events++
		do()
	}
	w.checks.end()
	w.result.Events = w.events
	for _, p := range w.partners {
		w.result.Overloads += p.tips
		w.result.InformedOverloads += p.pushed
		w.result.PeakColdLoad = max(w.result.PeakColdLoad, p.crowd)
	}
	return w.result
}

func pick(sums []float64, rng *rand.Rand) int {
	x := rng.Float64() * sums[len(sums)-1]
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return len(sums) - 1
}

// arrive hands a client's message in, and asks for the next.
func (w *Simulation) arrive() {
	if w.now >= w.s.Length.D() {
		return
	}
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/(w.s.Traffic.Rate*w.load)*float64(time.Second)), w.arrive)
	class := &w.s.Classes[pick(w.shares, w.rng)]
	m := &wish{
		class: class, partner: w.partners[pick(w.weights, w.rng)], at: w.now, until: w.now + class.DeliveryTimeout.D(),
		host: w.client(), returns: w.s.Traffic.MaxRetries,
	}
	w.result.Offered++
	w.result.Classes[class.Name].Offered++
	w.result.Worth.Offered += class.Worth
	m.hand()
}

// client draws the forwarder that a client hands in at.
func (w *Simulation) client() *host {
	if w.s.Traffic.ForwarderSkew == 0 {
		return w.hosts[w.rng.IntN(len(w.hosts))]
	}
	return w.hosts[pick(w.parts, w.rng)]
}

// wish is what a client wants delivered; each handing in of it is a message of its own.
type wish struct {
	class     *scenario.Class
	partner   *partner
	host      *host
	at, until time.Duration
	returns   int
	delivered bool
}

// hand hands a wish in at its forwarder, later if that is dead.
func (m *wish) hand() {
	w := m.host.w
	switch {
	case w.now >= m.until:
		w.result.Classes[m.class.Name].Lost++
	case !m.host.up:
		w.at(w.now+retryIn, m.hand)
	default:
		h := m.host
		if !w.s.Copies.Enabled {
			h.submit(m)
			return
		}
		life := h.life
		w.at(w.now+w.s.Copies.ReplicationDelay.D(), func() {
			if h.up && h.life == life {
				h.submit(m)
			} else {
				m.hand() // nobody was told that it was taken
			}
		})
	}
}

// refused sends a client home until later, if it comes again at all.
func (m *wish) refused(after time.Duration) {
	w := m.host.w
	if m.returns--; m.returns < 0 || w.now+after >= m.until {
		w.result.Classes[m.class.Name].Refused++
		return
	}
	w.at(w.now+after, m.hand)
}

// chosen draws a share of n, at least one.
func (w *Simulation) chosen(n int, share float64) []int {
	return w.rng.Perm(n)[:min(n, max(1, int(math.Round(share*float64(n)))))]
}

// fault has something go wrong now.
func (w *Simulation) fault(f scenario.Fault) {
	until := w.now + f.Duration.D()
	switch f.Kind {
	case scenario.Outage, scenario.Silence:
		for _, i := range w.chosen(len(w.partners), f.Share) {
			p := w.partners[i]
			p.fall(w.now, until, f.Kind == scenario.Silence)
			w.at(until, func() { p.silent = false })
		}
		w.result.RecoveryTimes = append(w.result.RecoveryTimes, until)
	case scenario.Slow, scenario.Limit:
		for _, i := range w.chosen(len(w.partners), f.Share) {
			factor := &w.partners[i].slow
			if f.Kind == scenario.Limit {
				factor = &w.partners[i].lowered
			}
			*factor *= f.Factor
			w.at(until, func() { *factor /= f.Factor })
		}
	case scenario.Connect:
		for _, i := range w.chosen(len(w.partners), f.Share) {
			p := w.partners[i]
			p.connect = f.ConnectTime.D()
			w.at(until, func() { p.connect = 0 })
		}
	case scenario.Load:
		w.load *= f.Factor
		w.at(until, func() { w.load /= f.Factor })
	case scenario.Kill:
		for _, i := range w.chosen(len(w.hosts), f.Share) {
			h := w.hosts[i]
			if !h.up {
				continue
			}
			h.kill(f.FolderLossShare > 0 && w.rng.Float64() < f.FolderLossShare)
			back := f.MinDowntime.D() + time.Duration(w.rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			w.at(w.now+back, h.start)
		}
	case scenario.Drain:
		for _, i := range w.chosen(len(w.partners), f.Share) {
			w.replace(w.partners[i], f)
		}
	}
}

// replace takes a partner's oldest endpoint out of the list, in order: drained first, gone later; one of another name comes.
func (w *Simulation) replace(p *partner, f scenario.Fault) {
	old := p.endpoints[0]
	w.tell(p, old, mb.Draining)
	w.at(w.now+max(f.Duration.D(), 2*listLag), func() {
		w.tell(p, old, mb.Deleted)
		old.gone = true
		p.endpoints = p.endpoints[1:]
		name := mb.EndpointID(fmt.Sprintf("%s'%d", old.name, w.agenda.Scheduled()))
		w.add(p, name)
		w.tell(p, p.endpoints[len(p.endpoints)-1], mb.Serving)
	})
}

// tell changes the list, and has the forwarders know a little later.
func (w *Simulation) tell(p *partner, e *endpoint, r mb.Readiness) {
	e.state = r
	for i := range w.list {
		if w.list[i].Endpoint == e.name {
			if w.list[i].Readiness = r; r == mb.Deleted {
				w.list = append(w.list[:i:i], w.list[i+1:]...)
			}
			break
		}
	}
	entry := w.entry(p, e.name, r)
	for _, h := range w.hosts {
		w.at(w.now+listLag, func() {
			if h.up {
				h.learn(mb.EndpointUpdate{Scope: mb.ListChanges, Entries: []mb.Entry{entry}})
			}
		})
	}
}

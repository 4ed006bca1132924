// Package simulation runs a scenario as a discrete-event simulation: a fleet of forwarders, each with its own decision module,
// destinations, clients and faults, on one event queue in virtual time. It uses no sockets and no real clock, and equal seeds give
// equal runs. The rules are checked during the run.
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
	networkDelay     = 500 * time.Microsecond // one-way delay between a forwarder and an endpoint
	discoveryDelay   = 300 * time.Millisecond // from a change in discovery to its arrival at the forwarders
	clientRetryDelay = 500 * time.Millisecond // after which a client whose forwarder is down submits again
	drainTime        = 30 * time.Second       // after the end of the traffic, for the messages still held
)

// Simulation is one run of a scenario.
type Simulation struct {
	scenario           scenario.Scenario
	now                time.Duration
	queue              eventqueue.Queue
	events             int64
	rng                *rand.Rand // for clients and faults
	destinations       []*destination
	byEndpoint         map[mb.EndpointID]*destination
	forwarders         []*forwarder
	destinationWeights []float64 // cumulative
	forwarderWeights   []float64 // cumulative
	classWeights       []float64 // cumulative
	loadFactor         float64   // factor on the traffic's rate
	nextID             mb.MessageID
	discoveryList      []mb.Entry
	figures            memory.Figures
	disabled           map[scenario.Safeguard]bool
	result             Result
	checker            checker
	// Trace is called for each event of a message's processing, unless it is nil.
	Trace func(schedule time.Duration, event int64, message mb.MessageID, what string)
}

func (w *Simulation) trace(m *message, format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now, w.events, m.id, fmt.Sprintf(format, args...))
	}
}

// New returns a simulation of a scenario.
func New(s scenario.Scenario, seed uint64) (*Simulation, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("simulation: %w", err)
	}
	w := &Simulation{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), byEndpoint: map[mb.EndpointID]*destination{}, loadFactor: 1, figures: memory.DefaultFigures,
		result: Result{Scenario: s.Name, Seed: seed, Classes: map[string]*ClassResult{}},
	}
	w.checker.sim = w
	w.disabled = make(map[scenario.Safeguard]bool, len(s.DisabledSafeguards))
	for _, m := range s.DisabledSafeguards {
		w.disabled[m] = true
	}
	for g, group := range s.Destinations {
		for range group.Count {
			id := mb.DestinationID(len(w.destinations) + 1)
			src := rand.NewPCG(seed, 1000+uint64(id))
			sample, err := group.ServiceTime.Sampler(src)
			if err != nil {
				return nil, fmt.Errorf("simulation: partners %d: %w", g+1, err)
			}
			servers := max(1, int(math.Ceil(group.Capacity*group.ServiceTime.Mean/1000)))
			p := &destination{
				id: id, group: group, rules: s.Rules, serviceTime: sample, rng: rand.New(src), slowdown: 1, limitFactor: 1, recoveredAt: -1,
				servers: make([]time.Duration, servers),
			}
			for e := range group.Endpoints {
				w.addEndpoint(p, mb.EndpointID(fmt.Sprintf("p%d-%d", id, e)))
			}
			w.destinations = append(w.destinations, p)
		}
	}
	total := 0.0
	for i := range w.destinations {
		total += math.Pow(float64(i+1), -s.Traffic.DestinationSkew)
		w.destinationWeights = append(w.destinationWeights, total)
	}
	total = 0
	for _, c := range s.Classes {
		total += c.Share
		w.classWeights = append(w.classWeights, total)
		w.result.Classes[c.Name] = &ClassResult{}
	}
	for i := range s.Fleet.Forwarders {
		h := &forwarder{sim: w, name: i, seed: seed*1_000_003 + uint64(i), held: map[mb.MessageID]*message{}}
		w.forwarders = append(w.forwarders, h)
		part := math.Pow(float64(i+1), -s.Traffic.ForwarderSkew)
		if i > 0 {
			part += w.forwarderWeights[i-1]
		}
		w.forwarderWeights = append(w.forwarderWeights, part)
		w.at(0, h.start)
	}
	for _, f := range s.Faults {
		w.at(f.At.D(), func() { w.injectFault(f) })
	}
	w.at(0, w.nextArrival)
	return w, nil
}

// addEndpoint adds an endpoint to a destination and to discovery.
func (w *Simulation) addEndpoint(p *destination, name mb.EndpointID) {
	p.endpoints = append(p.endpoints, &endpoint{name: name})
	w.byEndpoint[name] = p
	w.discoveryList = append(w.discoveryList, w.entry(p, name, mb.Serving))
}

func (w *Simulation) entry(p *destination, name mb.EndpointID, r mb.Readiness) mb.Entry {
	return mb.Entry{Endpoint: name, Zone: "z", Kind: "k", Destination: p.id, Readiness: r, CapacityHint: p.group.CapacityHint * p.group.Capacity}
}

// schedule schedules do at time t, or now if t has passed.
func (w *Simulation) at(t time.Duration, do func()) {
	w.queue.Schedule(max(t, w.now), do)
}

// Run runs the simulation to its end and returns its result.
func (w *Simulation) Run() Result {
	end := w.scenario.Length.D() + drainTime
	for {
		at, do, some := w.queue.Next(end)
		if !some {
			break
		}
		w.now = at
		w.events++
		do()
	}
	w.checker.end()
	w.result.Events = w.events
	for _, p := range w.destinations {
		w.result.Overloads += p.overloads
		w.result.InformedOverloads += p.informedOverloads
		w.result.PeakColdLoad = max(w.result.PeakColdLoad, p.peakColdLoad)
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

// nextArrival submits a client's message and schedules the next one.
func (w *Simulation) nextArrival() {
	if w.now >= w.scenario.Length.D() {
		return
	}
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/(w.scenario.Traffic.Rate*w.loadFactor)*float64(time.Second)), w.nextArrival)
	class := &w.scenario.Classes[pick(w.classWeights, w.rng)]
	m := &request{
		class: class, destination: w.destinations[pick(w.destinationWeights, w.rng)], createdAt: w.now, deadline: w.now + class.DeliveryTimeout.D(),
		forwarder: w.pickForwarder(), retriesLeft: w.scenario.Traffic.MaxRetries,
	}
	w.result.Offered++
	w.result.Classes[class.Name].Offered++
	w.result.Worth.Offered += class.Worth
	m.submit()
}

// pickForwarder draws the forwarder that a client submits to.
func (w *Simulation) pickForwarder() *forwarder {
	if w.scenario.Traffic.ForwarderSkew == 0 {
		return w.forwarders[w.rng.IntN(len(w.forwarders))]
	}
	return w.forwarders[pick(w.forwarderWeights, w.rng)]
}

// request is a message that a client wants delivered; each submission of it is a message of its own.
type request struct {
	class               *scenario.Class
	destination         *destination
	forwarder           *forwarder
	createdAt, deadline time.Duration
	retriesLeft         int
	delivered           bool
}

// submit submits a request to its forwarder, and tries again later while the forwarder is down.
func (m *request) submit() {
	w := m.forwarder.sim
	switch {
	case w.now >= m.deadline:
		w.result.Classes[m.class.Name].Lost++
	case !m.forwarder.up:
		w.at(w.now+clientRetryDelay, m.submit)
	default:
		h := m.forwarder
		if !w.scenario.Copies.Enabled {
			h.submit(m)
			return
		}
		incarnation := h.incarnation
		w.at(w.now+w.scenario.Copies.ReplicationDelay.D(), func() {
			if h.up && h.incarnation == incarnation {
				h.submit(m)
			} else {
				m.submit() // the client was not told that the message was accepted
			}
		})
	}
}

// retryLater handles a refusal: the client submits again after a delay, or drops the request if no retries or time are left.
func (m *request) retryLater(after time.Duration) {
	w := m.forwarder.sim
	if m.retriesLeft--; m.retriesLeft < 0 || w.now+after >= m.deadline {
		w.result.Classes[m.class.Name].Refused++
		return
	}
	w.at(w.now+after, m.submit)
}

// pickShare draws the indexes of a share of n items, at least one.
func (w *Simulation) pickShare(n int, share float64) []int {
	return w.rng.Perm(n)[:min(n, max(1, int(math.Round(share*float64(n)))))]
}

// injectFault starts a fault now and schedules its end.
func (w *Simulation) injectFault(f scenario.Fault) {
	until := w.now + f.Duration.D()
	switch f.Kind {
	case scenario.Outage, scenario.Silence:
		for _, i := range w.pickShare(len(w.destinations), f.Share) {
			p := w.destinations[i]
			p.startOutage(w.now, until, f.Kind == scenario.Silence)
			w.at(until, func() { p.silent = false })
		}
		w.result.RecoveryTimes = append(w.result.RecoveryTimes, until)
	case scenario.Slow, scenario.Limit:
		for _, i := range w.pickShare(len(w.destinations), f.Share) {
			factor := &w.destinations[i].slowdown
			if f.Kind == scenario.Limit {
				factor = &w.destinations[i].limitFactor
			}
			*factor *= f.Factor
			w.at(until, func() { *factor /= f.Factor })
		}
	case scenario.Connect:
		for _, i := range w.pickShare(len(w.destinations), f.Share) {
			p := w.destinations[i]
			p.connectTime = f.ConnectTime.D()
			w.at(until, func() { p.connectTime = 0 })
		}
	case scenario.Load:
		w.loadFactor *= f.Factor
		w.at(until, func() { w.loadFactor /= f.Factor })
	case scenario.Kill:
		for _, i := range w.pickShare(len(w.forwarders), f.Share) {
			h := w.forwarders[i]
			if !h.up {
				continue
			}
			h.kill(f.FolderLossShare > 0 && w.rng.Float64() < f.FolderLossShare)
			back := f.MinDowntime.D() + time.Duration(w.rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			w.at(w.now+back, h.start)
		}
	case scenario.Drain:
		for _, i := range w.pickShare(len(w.destinations), f.Share) {
			w.replaceEndpoint(w.destinations[i], f)
		}
	}
}

// replaceEndpoint replaces a destination's oldest endpoint in order: it is drained first and deleted later, when an endpoint with
// another name is added.
func (w *Simulation) replaceEndpoint(p *destination, f scenario.Fault) {
	old := p.endpoints[0]
	w.updateDiscovery(p, old, mb.Draining)
	w.at(w.now+max(f.Duration.D(), 2*discoveryDelay), func() {
		w.updateDiscovery(p, old, mb.Deleted)
		old.gone = true
		p.endpoints = p.endpoints[1:]
		name := mb.EndpointID(fmt.Sprintf("%s'%d", old.name, w.queue.Scheduled()))
		w.addEndpoint(p, name)
		w.updateDiscovery(p, p.endpoints[len(p.endpoints)-1], mb.Serving)
	})
}

// updateDiscovery changes an endpoint's readiness in discovery; forwarders learn of it after discoveryDelay.
func (w *Simulation) updateDiscovery(p *destination, e *endpoint, r mb.Readiness) {
	e.state = r
	for i := range w.discoveryList {
		if w.discoveryList[i].Endpoint == e.name {
			if w.discoveryList[i].Readiness = r; r == mb.Deleted {
				w.discoveryList = append(w.discoveryList[:i:i], w.discoveryList[i+1:]...)
			}
			break
		}
	}
	entry := w.entry(p, e.name, r)
	for _, h := range w.forwarders {
		w.at(w.now+discoveryDelay, func() {
			if h.up {
				h.updateEndpoints(mb.EndpointUpdate{Scope: mb.ListChanges, Entries: []mb.Entry{entry}})
			}
		})
	}
}

// Package simulation runs a scenario as a discrete-event simulation: a fleet of forwarders, each with its own decision
// module, destinations, clients and faults, on one event queue in virtual time. It uses no sockets and no real clock,
// and equal seeds give equal runs. The rules are checked during the run.
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
	figures            memory.DecayConfig
	disabled           map[scenario.Safeguard]bool
	result             Result
	checker            checker
	// Trace is called for each event of a message's processing, unless it is nil.
	Trace func(at time.Duration, event int64, message mb.MessageID, what string)
}

func (sim *Simulation) trace(m *message, format string, args ...any) {
	if sim.Trace != nil {
		sim.Trace(sim.now, sim.events, m.id, fmt.Sprintf(format, args...))
	}
}

// New returns a simulation of a scenario.
func New(s scenario.Scenario, seed uint64) (*Simulation, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("simulation: %w", err)
	}
	sim := &Simulation{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), byEndpoint: map[mb.EndpointID]*destination{}, loadFactor: 1, figures: memory.DefaultDecay,
		result: Result{Scenario: s.Name, Seed: seed, Classes: map[string]*ClassResult{}},
	}
	sim.checker.sim = sim
	sim.disabled = make(map[scenario.Safeguard]bool, len(s.DisabledSafeguards))
	for _, safeguard := range s.DisabledSafeguards {
		sim.disabled[safeguard] = true
	}
	for g, group := range s.Destinations {
		for range group.Count {
			id := mb.DestinationID(len(sim.destinations) + 1)
			src := rand.NewPCG(seed, 1000+uint64(id))
			serviceTime, err := group.ServiceTime.Sampler(src)
			if err != nil {
				return nil, fmt.Errorf("simulation: partners %d: %w", g+1, err)
			}
			servers := max(1, int(math.Ceil(group.Capacity*group.ServiceTime.Mean/1000)))
			dest := &destination{
				id: id, group: group, rules: s.Rules, serviceTime: serviceTime, rng: rand.New(src), slowdown: 1, limitFactor: 1, recoveredAt: -1,
				servers: make([]time.Duration, servers),
			}
			for e := range group.Endpoints {
				sim.addEndpoint(dest, mb.EndpointID(fmt.Sprintf("p%d-%d", id, e)))
			}
			sim.destinations = append(sim.destinations, dest)
		}
	}
	total := 0.0
	for i := range sim.destinations {
		total += math.Pow(float64(i+1), -s.Traffic.DestinationSkew)
		sim.destinationWeights = append(sim.destinationWeights, total)
	}
	total = 0
	for _, c := range s.Classes {
		total += c.Share
		sim.classWeights = append(sim.classWeights, total)
		sim.result.Classes[c.Name] = &ClassResult{}
	}
	for i := range s.Fleet.Forwarders {
		fwd := &forwarder{sim: sim, name: i, seed: seed*1_000_003 + uint64(i), held: map[mb.MessageID]*message{}}
		sim.forwarders = append(sim.forwarders, fwd)
		weight := math.Pow(float64(i+1), -s.Traffic.ForwarderSkew)
		if i > 0 {
			weight += sim.forwarderWeights[i-1]
		}
		sim.forwarderWeights = append(sim.forwarderWeights, weight)
		sim.schedule(0, fwd.start)
	}
	for _, f := range s.Faults {
		sim.schedule(f.At.D(), func() { sim.injectFault(f) })
	}
	sim.schedule(0, sim.nextArrival)
	return sim, nil
}

// addEndpoint adds an endpoint to a destination and to discovery.
func (sim *Simulation) addEndpoint(dest *destination, name mb.EndpointID) {
	dest.endpoints = append(dest.endpoints, &endpoint{name: name})
	sim.byEndpoint[name] = dest
	sim.discoveryList = append(sim.discoveryList, sim.entry(dest, name, mb.Serving))
}

func (sim *Simulation) entry(dest *destination, name mb.EndpointID, r mb.Readiness) mb.Entry {
	return mb.Entry{Endpoint: name, Zone: "z", Kind: "k", Destination: dest.id, Readiness: r, CapacityHint: dest.group.CapacityHint * dest.group.Capacity}
}

// schedule schedules do at time t, or now if t has passed.
func (sim *Simulation) schedule(t time.Duration, do func()) {
	sim.queue.Schedule(max(t, sim.now), do)
}

// Run runs the simulation to its end and returns its result.
func (sim *Simulation) Run() Result {
	end := sim.scenario.Length.D() + drainTime
	for {
		at, do, ok := sim.queue.Next(end)
		if !ok {
			break
		}
		sim.now = at
		sim.events++
		do()
	}
	sim.checker.end()
	sim.result.Events = sim.events
	for _, dest := range sim.destinations {
		sim.result.Overloads += dest.overloads
		sim.result.InformedOverloads += dest.informedOverloads
		sim.result.PeakColdLoad = max(sim.result.PeakColdLoad, dest.peakColdLoad)
	}
	return sim.result
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
func (sim *Simulation) nextArrival() {
	if sim.now >= sim.scenario.Length.D() {
		return
	}
	sim.schedule(sim.now+time.Duration(sim.rng.ExpFloat64()/(sim.scenario.Traffic.Rate*sim.loadFactor)*float64(time.Second)), sim.nextArrival)
	class := &sim.scenario.Classes[pick(sim.classWeights, sim.rng)]
	r := &request{
		class: class, destination: sim.destinations[pick(sim.destinationWeights, sim.rng)], createdAt: sim.now, deadline: sim.now + class.DeliveryTimeout.D(),
		forwarder: sim.pickForwarder(), retriesLeft: sim.scenario.Traffic.MaxRetries,
	}
	sim.result.Offered++
	sim.result.Classes[class.Name].Offered++
	sim.result.Worth.Offered += class.Worth
	r.submit()
}

// pickForwarder draws the forwarder that a client submits to.
func (sim *Simulation) pickForwarder() *forwarder {
	if sim.scenario.Traffic.ForwarderSkew == 0 {
		return sim.forwarders[sim.rng.IntN(len(sim.forwarders))]
	}
	return sim.forwarders[pick(sim.forwarderWeights, sim.rng)]
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
func (r *request) submit() {
	sim := r.forwarder.sim
	switch {
	case sim.now >= r.deadline:
		sim.result.Classes[r.class.Name].Lost++
	case !r.forwarder.up:
		sim.schedule(sim.now+clientRetryDelay, r.submit)
	default:
		fwd := r.forwarder
		if !sim.scenario.Copies.Enabled {
			fwd.submit(r)
			return
		}
		incarnation := fwd.incarnation
		sim.schedule(sim.now+sim.scenario.Copies.ReplicationDelay.D(), func() {
			if fwd.up && fwd.incarnation == incarnation {
				fwd.submit(r)
			} else {
				r.submit() // the client was not told that the message was accepted
			}
		})
	}
}

// retryLater handles a refusal: the client submits again after a delay, or drops the request if no retries or time are
// left.
func (r *request) retryLater(after time.Duration) {
	sim := r.forwarder.sim
	if r.retriesLeft--; r.retriesLeft < 0 || sim.now+after >= r.deadline {
		sim.result.Classes[r.class.Name].Refused++
		return
	}
	sim.schedule(sim.now+after, r.submit)
}

// pickShare draws the indexes of a share of n items, at least one.
func (sim *Simulation) pickShare(n int, share float64) []int {
	return sim.rng.Perm(n)[:min(n, max(1, int(math.Round(share*float64(n)))))]
}

// outageOutcomes are the outcomes of calls during the kinds of outages in which calls are answered.
var outageOutcomes = map[string]mb.Outcome{scenario.Outage: mb.ConnectFailed, scenario.Shut: mb.Refused, scenario.Errors: mb.Failed}

// injectFault starts a fault now and schedules its end.
func (sim *Simulation) injectFault(f scenario.Fault) {
	until := sim.now + f.Duration.D()
	switch f.Kind {
	case scenario.Outage, scenario.Silence, scenario.Shut, scenario.Errors:
		for _, i := range sim.pickShare(len(sim.destinations), f.Share) {
			dest := sim.destinations[i]
			dest.startOutage(sim.now, until, f.Kind == scenario.Silence)
			dest.outageOutcome = outageOutcomes[f.Kind]
			sim.schedule(until, func() { dest.silent = false })
		}
		sim.result.RecoveryTimes = append(sim.result.RecoveryTimes, until)
	case scenario.Slow, scenario.Limit:
		for _, i := range sim.pickShare(len(sim.destinations), f.Share) {
			factor := &sim.destinations[i].slowdown
			if f.Kind == scenario.Limit {
				factor = &sim.destinations[i].limitFactor
			}
			*factor *= f.Factor
			sim.schedule(until, func() { *factor /= f.Factor })
		}
	case scenario.Connect:
		for _, i := range sim.pickShare(len(sim.destinations), f.Share) {
			dest := sim.destinations[i]
			dest.connectTime = f.ConnectTime.D()
			sim.schedule(until, func() { dest.connectTime = 0 })
		}
	case scenario.Load:
		sim.loadFactor *= f.Factor
		sim.schedule(until, func() { sim.loadFactor /= f.Factor })
	case scenario.Kill:
		for _, i := range sim.pickShare(len(sim.forwarders), f.Share) {
			fwd := sim.forwarders[i]
			if !fwd.up {
				continue
			}
			fwd.kill(f.FolderLossShare > 0 && sim.rng.Float64() < f.FolderLossShare)
			downtime := f.MinDowntime.D() + time.Duration(sim.rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			sim.schedule(sim.now+downtime, fwd.start)
		}
	case scenario.Drain:
		for _, i := range sim.pickShare(len(sim.destinations), f.Share) {
			sim.replaceEndpoint(sim.destinations[i], f)
		}
	}
}

// replaceEndpoint replaces a destination's oldest endpoint in order: it is drained first and deleted later, when an
// endpoint with another name is added.
func (sim *Simulation) replaceEndpoint(dest *destination, f scenario.Fault) {
	old := dest.endpoints[0]
	sim.updateDiscovery(dest, old, mb.Draining)
	sim.schedule(sim.now+max(f.Duration.D(), 2*discoveryDelay), func() {
		sim.updateDiscovery(dest, old, mb.Deleted)
		old.gone = true
		dest.endpoints = dest.endpoints[1:]
		name := mb.EndpointID(fmt.Sprintf("%s'%d", old.name, sim.queue.Scheduled()))
		sim.addEndpoint(dest, name)
		sim.updateDiscovery(dest, dest.endpoints[len(dest.endpoints)-1], mb.Serving)
	})
}

// updateDiscovery changes an endpoint's readiness in discovery; forwarders learn of it after discoveryDelay.
func (sim *Simulation) updateDiscovery(dest *destination, e *endpoint, r mb.Readiness) {
	e.state = r
	for i := range sim.discoveryList {
		if sim.discoveryList[i].Endpoint == e.name {
			if sim.discoveryList[i].Readiness = r; r == mb.Deleted {
				sim.discoveryList = append(sim.discoveryList[:i:i], sim.discoveryList[i+1:]...)
			}
			break
		}
	}
	entry := sim.entry(dest, e.name, r)
	for _, fwd := range sim.forwarders {
		sim.schedule(sim.now+discoveryDelay, func() {
			if fwd.up {
				fwd.updateEndpoints(mb.EndpointUpdate{Scope: mb.ListChanges, Entries: []mb.Entry{entry}})
			}
		})
	}
}

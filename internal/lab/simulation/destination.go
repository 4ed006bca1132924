package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

// destination simulates a destination with its endpoints: its capacity, rate limit, outages and recovery. It is a state machine in
// virtual time; the result of a call is decided when the call arrives.
type destination struct {
	id                mb.DestinationID
	group             scenario.DestinationGroup
	rules             scenario.Rules
	serviceTime       func() float64 // milliseconds
	rng               *rand.Rand
	endpoints         []*endpoint
	servers           []time.Duration // when each server of the destination becomes free
	slowdown          float64         // factor on service times
	limitFactor       float64         // factor on the rate limit
	connectTime       time.Duration   // time to set up a connection, in addition to the network delay
	downUntil         time.Duration   // end of the latest outage
	silent            bool            // accepts calls without answering while down
	recoveredAt       time.Duration   // recovery from the latest outage; negative if there was none
	limitCalls        []time.Duration // calls that count towards the limit, of the last limitWindow
	coldCalls         []arrival       // calls of the last OverloadWindow, while cold
	overloads         int
	informedOverloads int     // of these, those caused by forwarders that knew of the outage
	peakColdLoad      float64 // maximum of calls within OverloadWindow while cold, over the tolerated number
}

// arrival is a call that reached a cold destination.
type arrival struct {
	at       time.Duration
	informed bool // from a forwarder that knew of the outage
}

// endpoint is an endpoint of a destination.
type endpoint struct {
	name  mb.EndpointID
	state mb.Readiness
	gone  bool
}

const limitWindow = time.Second // window over which a rate limit applies

// Destination is a simulated destination for use with real forwarders. Times are those of the caller's clock, which starts at 0.
// Its methods are not safe for concurrent use.
type Destination struct{ p *destination }

// Endpoints returns the names of the endpoints.
func (p Destination) Endpoints() (names []string) {
	for _, e := range p.p.endpoints {
		names = append(names, string(e.name))
	}
	return names
}

// ID returns the destination's ID.
func (p Destination) ID() int { return int(p.p.id) }

// CapacityHint returns the capacity hint in discovery, in calls per second; 0 means no hint.
func (p Destination) CapacityHint() float64 { return p.p.group.CapacityHint * p.p.group.Capacity }

// CallResult is the result of a call.
type CallResult struct {
	Outcome    mb.Outcome
	Latency    time.Duration // from its arrival to its answer; negative is never
	RetryAfter time.Duration // sent with a refusal
	Cold       bool          // the destination was cold
	Early      bool          // and within 14 s of its recovery
	Overloaded bool          // the call overloaded the destination
}

// HandleCall returns the result of a call that arrives now.
func (p Destination) HandleCall(now time.Duration) CallResult {
	tips := p.p.overloads
	f := p.p.handleCall(now, p.p.endpoints[0], false)
	return CallResult{f.outcome, f.latency, f.retryAfter, f.cold, f.cold && now-p.p.recoveredAt < earlyWindow, p.p.overloads > tips}
}

// StartOutage takes the destination down until a time; a silent one accepts calls without answering.
func (p Destination) StartOutage(now, until time.Duration, silent bool) {
	p.p.startOutage(now, until, silent)
}

// ScaleServiceTime multiplies the service times by a factor.
func (p Destination) ScaleServiceTime(by float64) { p.p.slowdown *= by }

// Destinations returns the destinations of a scenario, as a simulation with the same seed has them.
func Destinations(s scenario.Scenario, seed uint64) ([]Destination, error) {
	w, err := New(s, seed)
	if err != nil {
		return nil, err
	}
	var list []Destination
	for _, p := range w.destinations {
		list = append(list, Destination{p})
	}
	return list, nil
}

const earlyWindow = 14 * time.Second // from a cold destination's recovery

// callResult is the result of a call.
type callResult struct {
	outcome     mb.Outcome
	latency     time.Duration // from its arrival to its answer; negative is never
	retryAfter  time.Duration
	takesEffect bool // the call takes effect
	cold        bool // the destination was cold
}

// capacityShare returns the share of its capacity that the destination has now.
func (p *destination) capacityShare(now time.Duration) float64 {
	if p.recoveredAt < 0 || p.rules.WarmWithin <= 0 {
		return 1
	}
	warm := float64(now-p.recoveredAt) / float64(p.rules.WarmWithin)
	return min(1, p.rules.ColdFrom+(1-p.rules.ColdFrom)*warm)
}

// dropBefore returns the times of a sorted list that are after since.
func dropBefore(list []time.Duration, since time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= since {
		list = list[1:]
	}
	return list
}

// tolerated returns how many calls within OverloadWindow a cold destination tolerates, including the allowance for chance.
func (p *destination) tolerated(share float64) float64 {
	n := p.rules.OverloadFactor * share * p.group.Capacity * p.rules.OverloadWindow.D().Seconds()
	if p.rules.ChanceFactor == 0 {
		return n + 1
	}
	return n + p.rules.ChanceFactor*(math.Sqrt(n)+1)
}

// handleCall returns the result of a call that arrives now; informed says that its forwarder knew of the outage.
func (p *destination) handleCall(now time.Duration, e *endpoint, seen bool) callResult {
	switch {
	case e.gone:
		return callResult{outcome: mb.ConnectFailed, latency: time.Millisecond}
	case now < p.downUntil && p.silent:
		return callResult{outcome: mb.TimedOut, latency: -1}
	case now < p.downUntil:
		return callResult{outcome: mb.ConnectFailed, latency: time.Millisecond}
	}
	share := p.capacityShare(now)
	f := callResult{cold: share < 1}
	if f.cold {
		for len(p.coldCalls) > 0 && p.coldCalls[0].at <= now-p.rules.OverloadWindow.D() {
			p.coldCalls = p.coldCalls[1:]
		}
		p.coldCalls = append(p.coldCalls, arrival{now, seen})
		n, bears := float64(len(p.coldCalls)), p.tolerated(share)
		if p.peakColdLoad = max(p.peakColdLoad, n/bears); n > bears {
			knew := 0
			for _, a := range p.coldCalls {
				if a.informed {
					knew++
				}
			}
			if 3*knew > 2*len(p.coldCalls) {
				p.informedOverloads++
			}
			p.startOutage(now, now+p.rules.OverloadDowntime.D(), false)
			p.overloads++
			f.outcome, f.latency, f.takesEffect = mb.Reset, time.Millisecond, true // a call in progress may have run
			return f
		}
	}
	if p.group.Limit > 0 {
		p.limitCalls = dropBefore(p.limitCalls, now-limitWindow)
		if float64(len(p.limitCalls)) >= p.limitFactor*p.group.Limit*limitWindow.Seconds() {
			if p.group.RefusalsCount {
				p.limitCalls = append(p.limitCalls, now)
			}
			f.outcome, f.latency, f.retryAfter = mb.Refused, time.Millisecond, p.group.RetryAfter.D()
			return f
		}
		p.limitCalls = append(p.limitCalls, now)
	}
	took := time.Duration(p.serviceTime() * p.slowdown / share * float64(time.Millisecond))
	free := 0
	for i, at := range p.servers {
		if at < p.servers[free] {
			free = i
		}
	}
	begin := max(now, p.servers[free])
	p.servers[free] = begin + took
	f.latency, f.takesEffect = begin+took-now, true
	if p.group.ResetShare > 0 && p.rng.Float64() < p.group.ResetShare {
		f.outcome = mb.Reset
	}
	return f
}

// startOutage takes the destination down until a time; on recovery it is cold.
func (p *destination) startOutage(now, until time.Duration, silent bool) {
	if until > p.downUntil {
		p.downUntil, p.recoveredAt = until, until
	}
	p.silent = silent
	p.coldCalls = nil
	for i := range p.servers {
		p.servers[i] = min(p.servers[i], now)
	}
}

// isUp reports whether calls in progress get an answer.
func (p *destination) isUp(now time.Duration) bool { return now >= p.downUntil }

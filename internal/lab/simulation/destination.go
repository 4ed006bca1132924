package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

// destination simulates a destination with its endpoints: its capacity, rate limit, outages and recovery. It is a state
// machine in virtual time; the result of a call is decided when the call arrives.
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
	outageOutcome     mb.Outcome      // of calls while down; OK stands for a failed connect
	recoveredAt       time.Duration   // recovery from the latest outage; negative if there was none
	limitCalls        []time.Duration // calls that count towards the limit, of the last limitWindow
	coldCalls         []arrival       // calls of the last OverloadWindow, while cold
	overloads         int
	informedOverloads int     // of these, those caused by forwarders that informedCalls of the outage
	peakColdLoad      float64 // maximum of calls within OverloadWindow while cold, over the tolerated number
}

// arrival is a call that reached a cold destination.
type arrival struct {
	at       time.Duration
	informed bool // from a forwarder that informedCalls of the outage
}

// endpoint is an endpoint of a destination.
type endpoint struct {
	name  mb.EndpointID
	state mb.Readiness
	gone  bool
}

const limitWindow = time.Second // window over which a rate limit applies

// Destination is a simulated destination for use with real forwarders. Times are those of the caller's clock, which
// starts at 0. Its methods are not safe for concurrent use.
type Destination struct{ dest *destination }

// Endpoints returns the names of the endpoints.
func (d Destination) Endpoints() (names []string) {
	for _, e := range d.dest.endpoints {
		names = append(names, string(e.name))
	}
	return names
}

// ID returns the destination's ID.
func (d Destination) ID() int { return int(d.dest.id) }

// CapacityHint returns the capacity hint in discovery, in calls per second; 0 means no hint.
func (d Destination) CapacityHint() float64 { return d.dest.group.CapacityHint * d.dest.group.Capacity }

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
func (d Destination) HandleCall(now time.Duration) CallResult {
	overloads := d.dest.overloads
	f := d.dest.handleCall(now, d.dest.endpoints[0], false)
	return CallResult{f.outcome, f.latency, f.retryAfter, f.cold, f.cold && now-d.dest.recoveredAt < earlyWindow, d.dest.overloads > overloads}
}

// StartOutage takes the destination down until a time; a silent one accepts calls without answering.
func (d Destination) StartOutage(now, until time.Duration, silent bool) {
	d.dest.startOutage(now, until, silent)
}

// ScaleServiceTime multiplies the service times by a factor.
func (d Destination) ScaleServiceTime(factor float64) { d.dest.slowdown *= factor }

// Destinations returns the destinations of a scenario, as a simulation with the same seed has them.
func Destinations(s scenario.Scenario, seed uint64) ([]Destination, error) {
	sim, err := New(s, seed)
	if err != nil {
		return nil, err
	}
	var list []Destination
	for _, dest := range sim.destinations {
		list = append(list, Destination{dest})
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
func (dest *destination) capacityShare(now time.Duration) float64 {
	if dest.recoveredAt < 0 || dest.rules.WarmWithin <= 0 {
		return 1
	}
	warm := float64(now-dest.recoveredAt) / float64(dest.rules.WarmWithin)
	return min(1, dest.rules.ColdFrom+(1-dest.rules.ColdFrom)*warm)
}

// dropBefore returns the times of a sorted list that are after since.
func dropBefore(list []time.Duration, since time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= since {
		list = list[1:]
	}
	return list
}

// tolerated returns how many calls within OverloadWindow a cold destination tolerates, including the allowance for
// chance.
func (dest *destination) tolerated(share float64) float64 {
	n := dest.rules.OverloadFactor * share * dest.group.Capacity * dest.rules.OverloadWindow.D().Seconds()
	if dest.rules.ChanceFactor == 0 {
		return n + 1
	}
	return n + dest.rules.ChanceFactor*(math.Sqrt(n)+1)
}

// handleCall returns the result of a call that arrives now; informed says that its forwarder informedCalls of the
// outage.
func (dest *destination) handleCall(now time.Duration, e *endpoint, informed bool) callResult {
	switch {
	case e.gone:
		return callResult{outcome: mb.ConnectFailed, latency: time.Millisecond}
	case now < dest.downUntil && dest.silent:
		return callResult{outcome: mb.TimedOut, latency: -1}
	case now < dest.downUntil && dest.outageOutcome != mb.OK:
		return callResult{outcome: dest.outageOutcome, latency: time.Millisecond, takesEffect: dest.outageOutcome == mb.Failed}
	case now < dest.downUntil:
		return callResult{outcome: mb.ConnectFailed, latency: time.Millisecond}
	}
	share := dest.capacityShare(now)
	f := callResult{cold: share < 1}
	if f.cold {
		for len(dest.coldCalls) > 0 && dest.coldCalls[0].at <= now-dest.rules.OverloadWindow.D() {
			dest.coldCalls = dest.coldCalls[1:]
		}
		dest.coldCalls = append(dest.coldCalls, arrival{now, informed})
		n, tolerated := float64(len(dest.coldCalls)), dest.tolerated(share)
		if dest.peakColdLoad = max(dest.peakColdLoad, n/tolerated); n > tolerated {
			informedCalls := 0
			for _, a := range dest.coldCalls {
				if a.informed {
					informedCalls++
				}
			}
			if 3*informedCalls > 2*len(dest.coldCalls) {
				dest.informedOverloads++
			}
			dest.startOutage(now, now+dest.rules.OverloadDowntime.D(), false)
			dest.outageOutcome = mb.ConnectFailed
			dest.overloads++
			f.outcome, f.latency, f.takesEffect = mb.Reset, time.Millisecond, true // a call in progress may have run
			return f
		}
	}
	if dest.group.Limit > 0 {
		dest.limitCalls = dropBefore(dest.limitCalls, now-limitWindow)
		if float64(len(dest.limitCalls)) >= dest.limitFactor*dest.group.Limit*limitWindow.Seconds() {
			if dest.group.RefusalsCount {
				dest.limitCalls = append(dest.limitCalls, now)
			}
			f.outcome, f.latency, f.retryAfter = mb.Refused, time.Millisecond, dest.group.RetryAfter.D()
			return f
		}
		dest.limitCalls = append(dest.limitCalls, now)
	}
	duration := time.Duration(dest.serviceTime() * dest.slowdown / share * float64(time.Millisecond))
	free := 0
	for i, at := range dest.servers {
		if at < dest.servers[free] {
			free = i
		}
	}
	begin := max(now, dest.servers[free])
	dest.servers[free] = begin + duration
	f.latency, f.takesEffect = begin+duration-now, true
	if dest.group.ResetShare > 0 && dest.rng.Float64() < dest.group.ResetShare {
		f.outcome = mb.Reset
	}
	return f
}

// startOutage takes the destination down until a time; on recovery it is cold.
func (dest *destination) startOutage(now, until time.Duration, silent bool) {
	if until > dest.downUntil {
		dest.downUntil, dest.recoveredAt = until, until
	}
	dest.silent = silent
	dest.coldCalls = nil
	for i := range dest.servers {
		dest.servers[i] = min(dest.servers[i], now)
	}
}

// isUp reports whether calls in progress get an answer.
func (dest *destination) isUp(now time.Duration) bool { return now >= dest.downUntil }
